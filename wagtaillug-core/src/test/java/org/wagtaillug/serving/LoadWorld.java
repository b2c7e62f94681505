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
import org.wagtaillug.batch.BatchCallEnd.PieceAnswer;
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
 * One node under the load of a supper-club firm: briefs with a chain of three steps and sometimes a large result beside it,
 * replies with the same chain, and chats with large results only. Stage servers keep their account of room and work one call
 * at a time; engines answer after the time to read the prompt; callers that are refused come back once, when told.
 */
final class LoadWorld {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final DomainId[] DOMAINS = {new DomainId("a"), new DomainId("b"), new DomainId("c")};
    private static final PoolId ENCODE = new PoolId("encode");
    private static final PoolId RETRIEVE = new PoolId("retrieve");
    private static final PoolId RERANK = new PoolId("rerank");
    private static final PoolId MODEL = new PoolId("model");

    /** A large result beside a chain of three steps; which of them a request has, its pieces say. */
    private static final List<Step> CHAIN = List.of(
            new Step(0, ENCODE, List.of(), 3_000_000),
            new Step(1, ENCODE, List.of(), 8_000),
            new Step(2, RETRIEVE, List.of(1), 60_000),
            new Step(3, RERANK, List.of(2), 6_000));

    private static final VmId SELF = new VmId("node-1");

    /** From the node to a server and back, with the work on both ways. */
    private static final Duration ROUND_TRIP = Duration.ofMillis(5);

    /** Connection, admission and the first token of an engine. */
    private static final Duration ENGINE_START = Duration.ofMillis(60);

    /** How many tokens of a prompt engines read in a millisecond unless a test says otherwise. */
    static final int USUAL_TOKENS_PER_MILLI = 30;

    /** Callers come in groups: a table asks at once. */
    private static final int TOGETHER = 3;

    /** What callers ask for, and what it is worth to them. */
    enum Kind {
        BRIEF(9.4, 3.5, 0.53, 1700, 8000, 1, 5400),
        REPLY(10.9, 2.0, 0.3, 1500, 5000, 0, 2000),
        CHAT(7.1, 0.66, 0.1, 800, 15_000, 2, 600);

        final double perSecond;
        final double worth;
        final double lateWorth;
        final int aimMillis;
        final int deadlineMillis;
        final int rank;
        final int tokens;

        Kind(double perSecond, double worth, double lateWorth, int aim, int deadline, int rank, int tokens) {
            this.perSecond = perSecond;
            this.worth = worth;
            this.lateWorth = lateWorth;
            this.aimMillis = aim;
            this.deadlineMillis = deadline;
            this.rank = rank;
            this.tokens = tokens;
        }
    }

    /** A span of time in which one kind, or all if it is null, comes more often. */
    record Burst(double fromSecond, double toSecond, Kind kind, double times) {}

    /** What became of the requests of a kind. */
    static final class Tally {
        int asked;
        double worth;

        /** What callers of this kind got of what they were owed. */
        double share(Kind kind) {
            return worth / (asked * kind.worth);
        }

        void add(Tally other) {
            asked += other.asked;
            worth += other.worth;
        }
    }

    private record Event(Instant at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private record Asked(Kind kind, Instant at, List<Integer> pieces, boolean again) {}

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
    private final Map<Kind, Tally> tallies = new LinkedHashMap<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<VmId, StageServer> servers = new HashMap<>();
    private final Map<String, DirectoryItem> contents = new HashMap<>();
    private int tokensPerMilli = USUAL_TOKENS_PER_MILLI;
    private Instant now = START;
    private long sequence;

    LoadWorld(long seed) {
        this(seed, PolicyFeatures.ALL);
    }

    /** A node that does without some ways of deciding. */
    LoadWorld(long seed, PolicyFeatures features) {
        random = new Random(seed);
        for (Kind kind : Kind.values()) {
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

    /** Engines read prompts at another pace. */
    LoadWorld enginesRead(int tokens) {
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
                return contents.get(record.key());
            }

            @Override
            public RolloutItem rollout(FeedRecord record) {
                return new RolloutItem.Ignored("not played");
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
            contents.put(id.value(), new DirectoryItem.Listed(listing));
            records.add(record(id.value(), records.size()));
            configuration()
                    .pool(pool)
                    .flatMap(PoolProfile::pieces)
                    .ifPresent(contract -> servers.put(id, new StageServer(contract)));
        }
    }

    private static ServingConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            Route.Builder route = Route.builder(new RouteId(kind.name()), RouteKind.STREAM)
                    .place("club.example", "/" + kind.name() + "/")
                    .times(Duration.ofMillis(kind.deadlineMillis), Duration.ofMillis(kind.aimMillis))
                    .firstEventWithin(Duration.ofMillis(Math.max(2000, 4L * kind.aimMillis)))
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
        return new ServingConfiguration(1, new RouteTable(routes), pools, CallerLimits.USUAL, Map.of());
    }

    private static PoolProfile stage(PoolId pool, int batch, double pieceMillis, long room) {
        Duration piece = Duration.ofNanos(Math.round(pieceMillis * 1_000_000));
        BatchContract contract =
                new BatchContract(1, batch, Duration.ofMillis(150), piece, room, Duration.ofSeconds(4));
        return new PoolProfile(pool, 370, 0, Optional.of(contract), false);
    }

    /** Lets callers ask for a time, and lets everything come to its end. */
    Map<Kind, Tally> play(double seconds, double times, List<Burst> bursts) {
        for (Kind kind : Kind.values()) {
            double at = 0;
            while (at < seconds) {
                double rate = kind.perSecond * times;
                for (Burst burst : bursts) {
                    boolean on = at >= burst.fromSecond() && at < burst.toSecond();
                    rate *= on && (burst.kind() == null || burst.kind() == kind) ? burst.times() : 1;
                }
                at += -Math.log(1 - random.nextDouble()) * TOGETHER / rate;
                for (int number = 0; number < TOGETHER; number++) {
                    later(START.plusNanos(Math.round(at * 1e9)), () -> ask(kind, now, pieces(kind), false));
                }
            }
        }
        Instant end = START.plusMillis(Math.round((seconds + 16) * 1000));
        Instant tick = START;
        while (now.isBefore(end)) {
            if (!events.isEmpty() && !events.peek().at().isAfter(tick)) {
                Event event = events.poll();
                now = event.at().isAfter(now) ? event.at() : now;
                event.what().run();
                continue;
            }
            now = tick;
            handle(new ServingEvent.Tick());
            tick = tick.plus(TICK);
        }
        return tallies;
    }

    private void later(Instant at, Runnable what) {
        sequence++;
        events.add(new Event(at, sequence, what));
    }

    private List<Integer> pieces(Kind kind) {
        return switch (kind) {
            case BRIEF -> List.of(random.nextDouble() < 0.4 ? 1 + random.nextInt(2) : 0, 1, 6, 8 + random.nextInt(17));
            case REPLY -> List.of(0, 1, 6, 8 + random.nextInt(17));
            case CHAT -> List.of(random.nextDouble() < 0.7 ? 1 + random.nextInt(4) : 0, 0, 0, 0);
        };
    }

    private void ask(Kind kind, Instant first, List<Integer> pieces, boolean again) {
        sequence++;
        RequestId id = new RequestId(kind + "-" + sequence);
        asked.put(id.value(), new Asked(kind, first, pieces, again));
        if (!again) {
            tallies.get(kind).asked++;
        }
        Duration left = Duration.between(now, first.plusMillis(kind.deadlineMillis));
        handle(new ServingEvent.RequestArrived(new RoutedRequest(
                id,
                "club.example",
                "/" + kind.name() + "/1",
                Optional.empty(),
                left,
                pieces,
                Optional.of("key"),
                List.of(),
                kind.tokens,
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
                    // Of no matter to the load.
                }
            }
        }
    }

    private void call(BatchCall call) {
        StageServer server = servers.get(call.upstream().id());
        Instant turn = later(server.freeAt, now.plus(ROUND_TRIP.dividedBy(2)));
        Duration work = server.contract.callTime();
        for (BatchCall.Item item : call.items()) {
            // The first step of a chain is lighter than what the pool says of its pieces.
            double share = item.step() == 1 ? 0.3 : 1;
            work = work.plusNanos(Math.round(server.contract.pieceTime().toNanos() * share));
        }
        server.freeAt = turn.plus(work);
        List<PieceAnswer> answers = new ArrayList<>();
        for (BatchCall.Item item : call.items()) {
            long bytes = CHAIN.get(item.step()).resultBytes();
            if (server.used + bytes > server.contract.roomBytes()) {
                answers.add(new PieceAnswer.NoRoom());
                continue;
            }
            sequence++;
            String handle = call.upstream().id() + "/" + sequence;
            server.used += bytes;
            server.held.put(handle, bytes);
            answers.add(new PieceAnswer.Made(handle));
            Instant lapse = server.freeAt.plus(server.contract.resultLifetime());
            later(lapse, () -> free(server, handle));
        }
        later(
                server.freeAt.plus(ROUND_TRIP.dividedBy(2)),
                () -> handle(new ServingEvent.BatchCallEnded(call.number(), new BatchCallEnd.Answered(answers))));
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static void free(StageServer server, String handle) {
        Long bytes = server.held.remove(handle);
        server.used -= bytes == null ? 0 : bytes;
    }

    private void release(ServingEffect.ReleaseResults release) {
        StageServer server = servers.get(release.maker().id());
        later(now.plus(ROUND_TRIP), () -> {
            release.handles().forEach(handle -> free(server, handle));
            handle(new ServingEvent.ReleaseEnded(release.release(), true));
        });
    }

    private void answer(SendOrder order) {
        Asked one = asked.get(order.request().value());
        Duration reading = ENGINE_START.plusMillis(one.kind().tokens / tokensPerMilli);
        later(now.plus(reading), () -> {
            tell(one, Duration.between(one.at(), now));
            handle(new ServingEvent.AnswerBegan(order.request(), order.attempt()));
        });
        later(
                now.plus(reading).plusMillis(300),
                () -> handle(new ServingEvent.SendEnded(order.request(), order.attempt(), new SendEnd.Passed())));
    }

    private void tell(Asked one, Duration took) {
        Tally tally = tallies.get(one.kind());
        if (took.toMillis() <= one.kind().aimMillis) {
            tally.worth += one.kind().worth;
        } else if (took.toMillis() <= one.kind().deadlineMillis) {
            tally.worth += one.kind().lateWorth;
        }
    }

    private void refused(ServingEffect.Refuse refuse) {
        Asked one = asked.get(refuse.request().value());
        Duration wait = refuse.refusal().retryAfter();
        Duration left = Duration.between(now, one.at().plusMillis(one.kind().deadlineMillis));
        Duration longest = left.dividedBy(3);
        if (one.again() || left.isNegative()) {
            return;
        }
        Duration pause = wait.compareTo(longest) < 0 ? wait : longest;
        later(now.plus(pause).plusMillis(6), () -> ask(one.kind(), one.at(), one.pieces(), true));
    }
}
