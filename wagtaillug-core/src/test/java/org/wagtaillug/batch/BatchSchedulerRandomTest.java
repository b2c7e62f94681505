package org.wagtaillug.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.batch.BatchCallEnd.PieceAnswer;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.BatchContract;

/**
 * Pools of 1 to 60 servers, of any batch, room and speed, under loads from idle to three times what they bear. Whatever the
 * pool, a server that is free must not stand beside pieces that fit into it, a call must fit the batch and the room, and each
 * order gets one answer.
 */
class BatchSchedulerRandomTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("pool");
    private static final DomainId DOMAIN = new DomainId("north");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final int ORDERS = 400;

    private record Due(Instant at, long number, Runnable what) {}

    /** One pool, its servers and the load on it, drawn from a seed. */
    private static final class World implements BatchOutput {
        private final Random random;
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private final BatchScheduler filler = new BatchScheduler(directory, this, PolicyFeatures.ALL);
        private final PriorityQueue<Due> due =
                new PriorityQueue<>((one, other) -> one.at().equals(other.at())
                        ? Long.compare(one.number(), other.number())
                        : one.at().compareTo(other.at()));
        private final Map<VmId, Integer> calls = new HashMap<>();
        private final Map<VmId, Long> used = new HashMap<>();
        private final Map<String, Long> held = new HashMap<>();
        private final Map<OrderId, Integer> answers = new HashMap<>();
        private final BatchContract contract;
        private final int servers;
        private final long bytes;
        private Instant now = START;
        private long numbers;
        private int made;

        World(long seed) {
            random = new Random(seed);
            servers = 1 + random.nextInt(60);
            int batch = 1 + random.nextInt(40);
            bytes = 1 + random.nextInt(1000);
            contract = new BatchContract(
                    1 + random.nextInt(2),
                    batch,
                    Duration.ofMillis(2 + random.nextInt(200)),
                    Duration.ofNanos(20_000 + random.nextInt(20_000_000)),
                    bytes * batch * (1 + random.nextInt(3)),
                    Duration.ofSeconds(4));
            for (int server = 0; server < servers; server++) {
                VmId id = new VmId("i-" + server);
                directory.onListing(new Listing(id, 1, POOL, "10.0.0.1", 80, DOMAIN, false, Duration.ZERO, ""), START);
                calls.put(id, 0);
                used.put(id, 0L);
            }
        }

        private void later(Duration delay, Runnable what) {
            numbers++;
            due.add(new Due(now.plus(delay), numbers, what));
        }

        void play() {
            double load = 0.1 + random.nextDouble() * 3;
            double secondsOfFullCall =
                    contract.callOf(contract.batch()).toNanos() / 1e9 / (contract.slots() * contract.batch() * servers);
            Duration at = Duration.ZERO;
            for (int number = 0; number < ORDERS; number++) {
                int pieces = 1 + random.nextInt(contract.batch() + 3);
                int rank = random.nextInt(3);
                at = at.plusNanos(Math.round(secondsOfFullCall * pieces / load * 1e9));
                later(at, () -> order(pieces, rank));
            }
            Instant end = now.plus(at).plusSeconds(30);
            for (Instant tick = now; tick.isBefore(end); tick = tick.plus(TICK)) {
                while (!due.isEmpty() && !due.peek().at().isAfter(tick)) {
                    Due next = due.poll();
                    now = next.at();
                    next.what().run();
                }
                now = tick;
                filler.onTick(now);
                noServerIsFreeBesidePiecesThatFit();
            }
        }

        private void order(int pieces, int rank) {
            numbers++;
            OrderId id = new OrderId(new NodeId(new VmId("node"), 1), numbers);
            answers.put(id, 0);
            Instant aim = now.plusMillis(200 + random.nextInt(2000));
            filler.onOrder(
                    new BatchOrder(
                            id,
                            new RequestId("r-" + numbers),
                            0,
                            POOL,
                            pieces,
                            Optional.of("key"),
                            List.of(),
                            bytes,
                            Optional.empty(),
                            new BatchOrder.Urgency(rank, aim, aim.plusSeconds(5))),
                    contract,
                    now);
        }

        private void noServerIsFreeBesidePiecesThatFit() {
            if (filler.waiting(POOL) == 0) {
                return;
            }
            for (VmId id : calls.keySet()) {
                boolean free = calls.get(id) < contract.slots();
                boolean fits = used.get(id) + bytes <= contract.roomBytes();
                assertThat(free && fits)
                        .describedAs("server %s is free at %s beside %d pieces", id, now, filler.waiting(POOL))
                        .isFalse();
            }
        }

        @Override
        public void call(BatchCall call) {
            VmId id = call.upstream().id();
            int pieces = call.items().size();
            assertThat(pieces).isBetween(1, contract.batch());
            calls.merge(id, 1, Integer::sum);
            used.merge(id, bytes * pieces, Long::sum);
            assertThat(calls.get(id)).isLessThanOrEqualTo(contract.slots());
            assertThat(used.get(id)).isLessThanOrEqualTo(contract.roomBytes());
            later(contract.callOf(pieces), () -> {
                calls.merge(id, -1, Integer::sum);
                List<PieceAnswer> results = new ArrayList<>();
                for (int piece = 0; piece < pieces; piece++) {
                    numbers++;
                    String handle = id + "/" + numbers;
                    held.put(handle, bytes);
                    results.add(new PieceAnswer.Made(handle));
                    later(contract.resultLifetime(), () -> drop(id, handle));
                }
                filler.onCallEnded(call.number(), new BatchCallEnd.Answered(results), now);
            });
        }

        @Override
        public void outcome(BatchOrder order, BatchOutcome outcome, Instant at) {
            answers.merge(order.id(), 1, Integer::sum);
            if (outcome instanceof BatchOutcome.Made done) {
                made++;
                later(Duration.ofMillis(300), () -> filler.onReleased(done.results()));
            }
        }

        @Override
        public void release(long number, Listing maker, List<String> handles) {
            later(Duration.ofMillis(1), () -> {
                handles.forEach(handle -> drop(maker.id(), handle));
                filler.onReleaseEnded(number, true);
            });
        }

        /** A server gives up a result when it is told to, or at the end of its lifetime. */
        private void drop(VmId server, String handle) {
            Long freed = held.remove(handle);
            used.merge(server, freed == null ? 0 : -freed, Long::sum);
        }

        @Override
        public void decided(Decision decision) {
            // Decisions are the log's.
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void noPoolStallsAndEachOrderIsAnsweredOnce(long seed) {
        World world = new World(seed);
        world.play();
        assertThat(world.answers.values()).containsOnly(1);
        assertThat(world.made).isPositive();
        assertThat(world.filler.idle()).isTrue();
    }
}
