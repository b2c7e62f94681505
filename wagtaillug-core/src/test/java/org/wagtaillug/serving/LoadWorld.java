package org.wagtaillug.serving;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.batch.BatchCallEnd.ItemAnswer;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.feed.RolloutItem;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutStatus;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.RouteTable;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/**
 * Simulates one node under a mixed load: briefs with a chain of three steps and sometimes a large result in parallel,
 * replies with the same chain, and chats with large results only. Stage servers track their room and process one call
 * at a time, engines answer after the time to read the prompt, and refused callers retry once, after the time they
 * are told.
 */
final class LoadWorld {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final DomainId[] DOMAINS = {new DomainId("a"), new DomainId("b"), new DomainId("c")};
    private static final PoolId ENCODE = new PoolId("encode");
    private static final PoolId RETRIEVE = new PoolId("retrieve");
    private static final PoolId RERANK = new PoolId("rerank");
    private static final PoolId MODEL = new PoolId("model");

    /** A large result in parallel to a chain of three steps; the items of a request say which of them it has. */
    private static final List<Step> CHAIN = List.of(
            new Step(0, ENCODE, List.of(), 3_000_000),
            new Step(1, ENCODE, List.of(), 8_000),
            new Step(2, RETRIEVE, List.of(1), 60_000),
            new Step(3, RERANK, List.of(2), 6_000));

    private static final VmId SELF = new VmId("node-1");

    /** Round trip from the node to a server, including processing on both sides. */
    private static final Duration ROUND_TRIP = Duration.ofMillis(5);

    /** Time of an engine for connection, admission and the first token. */
    private static final Duration ENGINE_START = Duration.ofMillis(60);

    /** Prompt tokens that engines read in a millisecond unless a test sets another value. */
    static final int DEFAULT_TOKENS_PER_MILLI = 30;

    /** Callers arrive in groups of this size. */
    private static final int GROUP_SIZE = 3;

    /** Kinds of requests, with the value of an answer in time and of a late one. */
    enum RequestKind {
        BRIEF(9.4, 3.5, 0.53, 1700, 8000, 1, 5400),
        REPLY(10.9, 2.0, 0.3, 1500, 5000, 0, 2000),
        CHAT(7.1, 0.66, 0.1, 800, 15_000, 2, 600);

        final double perSecond;
        final double value;
        final double lateValue;
        final int latencyTargetMillis;
        final int deadlineMillis;
        final int rank;
        final int tokens;

        RequestKind(
                double perSecond,
                double value,
                double lateValue,
                int latencyTarget,
                int deadline,
                int rank,
                int tokens) {
            this.perSecond = perSecond;
            this.value = value;
            this.lateValue = lateValue;
            this.latencyTargetMillis = latencyTarget;
            this.deadlineMillis = deadline;
            this.rank = rank;
            this.tokens = tokens;
        }
    }

    /** An interval in which one kind, or all if it is null, arrives more often. */
    record Burst(double fromSecond, double toSecond, RequestKind kind, double times) {}

    /** Results of the requests of one kind. */
    static final class Tally {
        int requested;
        double value;

        /** The share of the achievable value that callers of this kind got. */
        double share(RequestKind kind) {
            return value / (requested * kind.value);
        }

        void add(Tally other) {
            requested += other.requested;
            value += other.value;
        }
    }

    private record Event(Instant at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private record SentRequest(RequestKind kind, Instant at, List<Integer> items, boolean retry) {}

    private static final class StageServer {
        final BatchContract contract;
        final Map<String, Long> held = new HashMap<>();
        Instant freeAt = START;
        long used;

        StageServer(BatchContract contract) {
            this.contract = contract;
        }
    }

    private final Random random;
    private final Serving node;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<RequestKind, Tally> tallies = new LinkedHashMap<>();
    private final Map<String, SentRequest> requested = new HashMap<>();
    private final Map<VmId, StageServer> servers = new HashMap<>();
    private final Map<String, DirectoryItem> directoryItems = new HashMap<>();
    private int tokensPerMilli = DEFAULT_TOKENS_PER_MILLI;
    private Instant now = START;
    private long sequence;

    LoadWorld(long seed) {
        this(seed, PolicyFeatures.ALL);
    }

    /** Creates a node with some policy features disabled. */
    LoadWorld(long seed, PolicyFeatures features) {
        random = new Random(seed);
        for (RequestKind kind : RequestKind.values()) {
            tallies.put(kind, new Tally());
        }
        node = new Serving(ServingSetup.builder(new NodeId(SELF, 1), DOMAINS[0], decoder())
                .seed(SELF)
                .features(features)
                .build());
        handle(new ServingEvent.Tick());
        handle(new ServingEvent.FeedListed(FeedName.CONFIGURATION, List.of(record("config", 0)), false, 1));
        handle(new ServingEvent.FeedListed(FeedName.DIRECTORY, listings(), false, 100));
    }

    /** Sets the speed at which engines read prompts. */
    LoadWorld engineTokensPerMilli(int tokens) {
        tokensPerMilli = tokens;
        return this;
    }

    private static FeedRecord record(String key, long offset) {
        return new FeedRecord(key, offset, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private RecordDecoder decoder() {
        return new RecordDecoder() {
            @Override
            public ConfigurationItem configuration(FeedRecord record) {
                return new ConfigurationItem.Published(LoadWorld.configuration());
            }

            @Override
            public DirectoryItem directory(FeedRecord record) {
                return directoryItems.get(record.key());
            }

            @Override
            public RolloutItem rollout(FeedRecord record) {
                return new RolloutItem.Ignored("not simulated");
            }

            @Override
            public String rolloutKey(PoolId pool) {
                return "rollout/" + pool;
            }

            @Override
            public byte[] encode(RolloutStatus status) {
                return new byte[0];
            }
        };
    }

    private List<FeedRecord> listings() {
        List<FeedRecord> records = new ArrayList<>();
        list(records, ENCODE, 3);
        list(records, RETRIEVE, 4);
        list(records, RERANK, 4);
        list(records, MODEL, 8);
        return records;
    }

    private void list(List<FeedRecord> records, PoolId pool, int count) {
        for (int number = 0; number < count; number++) {
            VmId id = new VmId(pool + "-" + number);
            Listing listing = new Listing(
                    id, 1, pool, "10.0.0.1", 80, DOMAINS[number % DOMAINS.length], false, Duration.ZERO, "");
            directoryItems.put(id.value(), new DirectoryItem.Listed(listing));
            records.add(record(id.value(), records.size()));
            configuration()
                    .pool(pool)
                    .flatMap(PoolProfile::items)
                    .ifPresent(contract -> servers.put(id, new StageServer(contract)));
        }
    }

    private static ServingConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            Route.Builder route = Route.builder(new RouteId(kind.name()), RouteKind.STREAM)
                    .hostAndPath("club.example", "/" + kind.name() + "/")
                    .timeouts(Duration.ofMillis(kind.deadlineMillis), Duration.ofMillis(kind.latencyTargetMillis))
                    .firstEventWithin(Duration.ofMillis(Math.max(2000, 4L * kind.latencyTargetMillis)))
                    .rank(kind.rank)
                    .open(true)
                    .pool(MODEL, 1);
            CHAIN.forEach(route::step);
            routes.add(route.build());
        }
        Map<PoolId, PoolProfile> pools = new HashMap<>();
        pools.put(ENCODE, stage(ENCODE, 6, 21.333, 30_750_000));
        pools.put(RETRIEVE, stage(RETRIEVE, 17, 7.529, 2_805_000));
        pools.put(RERANK, stage(RERANK, 44, 2.9545, 783_200));
        pools.put(MODEL, new PoolProfile(MODEL, 370, 0, Optional.empty(), true));
        return new ServingConfiguration(1, new RouteTable(routes), pools, CallerLimits.DEFAULT, Map.of());
    }

    private static PoolProfile stage(PoolId pool, int batch, double itemMillis, long room) {
        Duration itemTime = Duration.ofNanos(Math.round(itemMillis * 1_000_000));
        BatchContract contract =
                new BatchContract(1, batch, Duration.ofMillis(150), itemTime, room, Duration.ofSeconds(4));
        return new PoolProfile(pool, 370, 0, Optional.of(contract), false);
    }

    /** Generates load for a time and runs until all requests have ended. */
    Map<RequestKind, Tally> run(double seconds, double times, List<Burst> bursts) {
        for (RequestKind kind : RequestKind.values()) {
            double at = 0;
            while (at < seconds) {
                double rate = kind.perSecond * times;
                for (Burst burst : bursts) {
                    boolean on = at >= burst.fromSecond() && at < burst.toSecond();
                    rate *= on && (burst.kind() == null || burst.kind() == kind) ? burst.times() : 1;
                }
                at += -Math.log(1 - random.nextDouble()) * GROUP_SIZE / rate;
                for (int number = 0; number < GROUP_SIZE; number++) {
                    schedule(START.plusNanos(Math.round(at * 1e9)), () -> sendRequest(kind, now, items(kind), false));
                }
            }
        }
        Instant end = START.plusMillis(Math.round((seconds + 16) * 1000));
        Instant tick = START;
        while (now.isBefore(end)) {
            if (!events.isEmpty() && !events.peek().at().isAfter(tick)) {
                Event event = events.poll();
                now = event.at().isAfter(now) ? event.at() : now;
                event.action().run();
                continue;
            }
            now = tick;
            handle(new ServingEvent.Tick());
            tick = tick.plus(TICK);
        }
        return tallies;
    }

    private void schedule(Instant at, Runnable action) {
        sequence++;
        events.add(new Event(at, sequence, action));
    }

    private List<Integer> items(RequestKind kind) {
        return switch (kind) {
            case BRIEF -> List.of(random.nextDouble() < 0.4 ? 1 + random.nextInt(2) : 0, 1, 6, 8 + random.nextInt(17));
            case REPLY -> List.of(0, 1, 6, 8 + random.nextInt(17));
            case CHAT -> List.of(random.nextDouble() < 0.7 ? 1 + random.nextInt(4) : 0, 0, 0, 0);
        };
    }

    private void sendRequest(RequestKind kind, Instant first, List<Integer> items, boolean retry) {
        sequence++;
        RequestId id = new RequestId(kind + "-" + sequence);
        requested.put(id.value(), new SentRequest(kind, first, items, retry));
        if (!retry) {
            tallies.get(kind).requested++;
        }
        Duration left = Duration.between(now, first.plusMillis(kind.deadlineMillis));
        handle(new ServingEvent.RequestArrived(new RoutedRequest(
                id,
                "club.example",
                "/" + kind.name() + "/1",
                Optional.empty(),
                left,
                items,
                Optional.of("key"),
                List.of(),
                kind.tokens,
                0,
                Optional.empty())));
    }

    private void handle(ServingEvent event) {
        for (ServingEffect effect : node.handle(event, now)) {
            switch (effect) {
                case ServingEffect.CallBatch call -> call(call.call());
                case ServingEffect.ReleaseResults release -> release(release);
                case ServingEffect.Send send -> answer(send.order());
                case ServingEffect.Refuse refuse -> refused(refuse);
                default -> {
                    // Not relevant to the load.
                }
            }
        }
    }

    private void call(BatchCall call) {
        StageServer server = servers.get(call.upstream().id());
        Instant start = laterOf(server.freeAt, now.plus(ROUND_TRIP.dividedBy(2)));
        Duration work = server.contract.callTime();
        for (BatchCall.Item item : call.items()) {
            // The first step of a chain takes less time than the contract of its pool says.
            double share = item.step() == 1 ? 0.3 : 1;
            work = work.plusNanos(Math.round(server.contract.itemTime().toNanos() * share));
        }
        server.freeAt = start.plus(work);
        List<ItemAnswer> answers = new ArrayList<>();
        for (BatchCall.Item item : call.items()) {
            long bytes = CHAIN.get(item.step()).resultBytes();
            if (server.used + bytes > server.contract.resultCapacityBytes()) {
                answers.add(new ItemAnswer.NoRoom());
                continue;
            }
            sequence++;
            String handle = call.upstream().id() + "/" + sequence;
            server.used += bytes;
            server.held.put(handle, bytes);
            answers.add(new ItemAnswer.Made(handle));
            Instant expiry = server.freeAt.plus(server.contract.resultLifetime());
            schedule(expiry, () -> free(server, handle));
        }
        schedule(
                server.freeAt.plus(ROUND_TRIP.dividedBy(2)),
                () -> handle(new ServingEvent.BatchCallEnded(call.number(), new BatchCallEnd.Answered(answers))));
    }

    private static Instant laterOf(Instant first, Instant other) {
        return first.isAfter(other) ? first : other;
    }

    private static void free(StageServer server, String handle) {
        Long bytes = server.held.remove(handle);
        server.used -= bytes == null ? 0 : bytes;
    }

    private void release(ServingEffect.ReleaseResults release) {
        StageServer server = servers.get(release.server().id());
        schedule(now.plus(ROUND_TRIP), () -> {
            release.handles().forEach(handle -> free(server, handle));
            handle(new ServingEvent.ReleaseEnded(release.release(), true));
        });
    }

    private void answer(SendOrder order) {
        SentRequest request = requested.get(order.request().value());
        Duration reading = ENGINE_START.plusMillis(request.kind().tokens / tokensPerMilli);
        schedule(now.plus(reading), () -> {
            recordAnswer(request, Duration.between(request.at(), now));
            handle(new ServingEvent.AnswerStarted(order.request(), order.attempt()));
        });
        schedule(
                now.plus(reading).plusMillis(300),
                () -> handle(new ServingEvent.SendEnded(order.request(), order.attempt(), new SendEnd.Passed())));
    }

    private void recordAnswer(SentRequest request, Duration took) {
        Tally tally = tallies.get(request.kind());
        if (took.toMillis() <= request.kind().latencyTargetMillis) {
            tally.value += request.kind().value;
        } else if (took.toMillis() <= request.kind().deadlineMillis) {
            tally.value += request.kind().lateValue;
        }
    }

    private void refused(ServingEffect.Refuse refuse) {
        SentRequest request = requested.get(refuse.request().value());
        Duration wait = refuse.refusal().retryAfter();
        Duration left = Duration.between(now, request.at().plusMillis(request.kind().deadlineMillis));
        Duration longest = left.dividedBy(3);
        if (request.retry() || left.isNegative()) {
            return;
        }
        Duration pause = wait.compareTo(longest) < 0 ? wait : longest;
        schedule(now.plus(pause).plusMillis(6), () -> sendRequest(request.kind(), request.at(), request.items(), true));
    }
}
