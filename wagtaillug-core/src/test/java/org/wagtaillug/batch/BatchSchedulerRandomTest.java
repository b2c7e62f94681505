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
import org.wagtaillug.batch.BatchCallEnd.ItemAnswer;
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
 * Simulates pools of 1 to 60 servers with random batch sizes, result capacities and speeds, under loads from idle to three
 * times the pool's capacity. In every pool, no server may be idle while an item that fits into its capacity is queued, a call
 * must respect the batch size and the capacity, and each order gets exactly one outcome.
 */
class BatchSchedulerRandomTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("pool");
    private static final DomainId DOMAIN = new DomainId("north");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final int ORDERS = 400;

    private record ScheduledAction(Instant at, long number, Runnable action) {}

    /** A pool, its servers and its load, generated from a seed. */
    private static final class PoolSimulation implements BatchOutput {
        private final Random random;
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private final BatchScheduler scheduler = new BatchScheduler(directory, this, PolicyFeatures.ALL);
        private final PriorityQueue<ScheduledAction> scheduledActions =
                new PriorityQueue<>((one, other) -> one.at().equals(other.at())
                        ? Long.compare(one.number(), other.number())
                        : one.at().compareTo(other.at()));
        private final Map<VmId, Integer> activeCalls = new HashMap<>();
        private final Map<VmId, Long> usedBytes = new HashMap<>();
        private final Map<String, Long> resultBytes = new HashMap<>();
        private final Map<OrderId, Integer> outcomeCounts = new HashMap<>();
        private final BatchContract contract;
        private final int servers;
        private final long itemBytes;
        private Instant now = START;
        private long lastNumber;
        private int completedOrders;

        PoolSimulation(long seed) {
            random = new Random(seed);
            servers = 1 + random.nextInt(60);
            int batch = 1 + random.nextInt(40);
            itemBytes = 1 + random.nextInt(1000);
            contract = new BatchContract(
                    1 + random.nextInt(2),
                    batch,
                    Duration.ofMillis(2 + random.nextInt(200)),
                    Duration.ofNanos(20_000 + random.nextInt(20_000_000)),
                    itemBytes * batch * (1 + random.nextInt(3)),
                    Duration.ofSeconds(4));
            for (int server = 0; server < servers; server++) {
                VmId id = new VmId("i-" + server);
                directory.onListing(new Listing(id, 1, POOL, "10.0.0.1", 80, DOMAIN, false, Duration.ZERO, ""), START);
                activeCalls.put(id, 0);
                usedBytes.put(id, 0L);
            }
        }

        private void schedule(Duration delay, Runnable action) {
            lastNumber++;
            scheduledActions.add(new ScheduledAction(now.plus(delay), lastNumber, action));
        }

        void simulate() {
            double load = 0.1 + random.nextDouble() * 3;
            double secondsPerItem =
                    contract.callOf(contract.batch()).toNanos() / 1e9 / (contract.slots() * contract.batch() * servers);
            Duration at = Duration.ZERO;
            for (int number = 0; number < ORDERS; number++) {
                int items = 1 + random.nextInt(contract.batch() + 3);
                int rank = random.nextInt(3);
                at = at.plusNanos(Math.round(secondsPerItem * items / load * 1e9));
                schedule(at, () -> order(items, rank));
            }
            Instant end = now.plus(at).plusSeconds(30);
            for (Instant tick = now; tick.isBefore(end); tick = tick.plus(TICK)) {
                while (!scheduledActions.isEmpty()
                        && !scheduledActions.peek().at().isAfter(tick)) {
                    ScheduledAction next = scheduledActions.poll();
                    now = next.at();
                    next.action().run();
                }
                now = tick;
                scheduler.onTick(now);
                assertNoServerIdlesWhileAnItemFits();
            }
        }

        private void order(int items, int rank) {
            lastNumber++;
            OrderId id = new OrderId(new NodeId(new VmId("node"), 1), lastNumber);
            outcomeCounts.put(id, 0);
            Instant targetTime = now.plusMillis(200 + random.nextInt(2000));
            scheduler.onOrder(
                    new BatchOrder(
                            id,
                            new RequestId("r-" + lastNumber),
                            0,
                            POOL,
                            items,
                            Optional.of("key"),
                            List.of(),
                            itemBytes,
                            Optional.empty(),
                            new BatchOrder.Urgency(rank, targetTime, targetTime.plusSeconds(5)),
                            OrderContext.NONE),
                    contract,
                    now);
        }

        private void assertNoServerIdlesWhileAnItemFits() {
            if (scheduler.waiting(POOL) == 0) {
                return;
            }
            for (VmId id : activeCalls.keySet()) {
                boolean free = activeCalls.get(id) < contract.slots();
                boolean fits = usedBytes.get(id) + itemBytes <= contract.resultCapacityBytes();
                assertThat(free && fits)
                        .describedAs(
                                "server %s is idle at %s while %d pieces are queued", id, now, scheduler.waiting(POOL))
                        .isFalse();
            }
        }

        @Override
        public void call(BatchCall call) {
            VmId id = call.upstream().id();
            int items = call.items().size();
            assertThat(items).isBetween(1, contract.batch());
            activeCalls.merge(id, 1, Integer::sum);
            usedBytes.merge(id, itemBytes * items, Long::sum);
            assertThat(activeCalls.get(id)).isLessThanOrEqualTo(contract.slots());
            assertThat(usedBytes.get(id)).isLessThanOrEqualTo(contract.resultCapacityBytes());
            schedule(contract.callOf(items), () -> {
                activeCalls.merge(id, -1, Integer::sum);
                List<ItemAnswer> results = new ArrayList<>();
                for (int item = 0; item < items; item++) {
                    lastNumber++;
                    String handle = id + "/" + lastNumber;
                    resultBytes.put(handle, itemBytes);
                    results.add(new ItemAnswer.Made(handle));
                    schedule(contract.resultLifetime(), () -> removeResult(id, handle));
                }
                scheduler.onCallEnded(call.number(), new BatchCallEnd.Answered(results), now);
            });
        }

        @Override
        public void outcome(BatchOrder order, BatchOutcome outcome, Instant at) {
            outcomeCounts.merge(order.id(), 1, Integer::sum);
            if (outcome instanceof BatchOutcome.Made done) {
                completedOrders++;
                schedule(Duration.ofMillis(300), () -> scheduler.onReleased(done.results()));
            }
        }

        @Override
        public void release(long number, Listing server, List<String> handles) {
            schedule(Duration.ofMillis(1), () -> {
                handles.forEach(handle -> removeResult(server.id(), handle));
                scheduler.onReleaseEnded(number, true, Optional.empty(), now);
            });
        }

        /** Removes a result at a server, on its release or at the end of its lifetime. */
        private void removeResult(VmId server, String handle) {
            Long freedBytes = resultBytes.remove(handle);
            usedBytes.merge(server, freedBytes == null ? 0 : -freedBytes, Long::sum);
        }

        @Override
        public void logDecision(Decision decision) {
            // The decision log is not tested here.
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void noPoolStallsAndEachOrderHasOneOutcome(long seed) {
        PoolSimulation simulation = new PoolSimulation(seed);
        simulation.simulate();
        assertThat(simulation.outcomeCounts.values()).containsOnly(1);
        assertThat(simulation.completedOrders).isPositive();
        assertThat(simulation.scheduler.idle()).isTrue();
    }
}
