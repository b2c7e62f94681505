package org.wagtaillug.serving;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.feed.RolloutItem;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.Contention;
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
 * Several nodes before three stage pools, at the rates of the turbine monitoring: diagnoses need large results of the first
 * pool, summaries and narrations a chain of 1, 8 and 16 items. The servers of the third pool take longer for an item than
 * their contract says. Refused callers don't retry, so that each request counts once.
 */
final class PathLoadWorld {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);
    private static final DomainId DOMAIN = new DomainId("a");
    private static final PoolId FIRST = new PoolId("first");
    private static final PoolId SECOND = new PoolId("second");
    private static final PoolId THIRD = new PoolId("third");
    private static final PoolId MODEL = new PoolId("model");
    private static final double REAL_ITEM_MILLIS_OF_THIRD = 3.2;
    private static final Duration ENGINE_TIME = Duration.ofMillis(120);
    private static final Duration START_TIME = Duration.ofSeconds(3);

    private static final List<Step> STEPS = List.of(
            new Step(0, FIRST, List.of(), 3_000_000),
            new Step(1, FIRST, List.of(), 8_000),
            new Step(2, SECOND, List.of(1), 60_000),
            new Step(3, THIRD, List.of(2), 6_000));

    /** Kinds of requests, the most urgent one first. */
    enum Kind {
        DIAGNOSIS(19.6, 2000),
        NARRATION(29, 2000),
        SUMMARY(45, 4000);

        final double perSecond;
        final int latencyTargetMillis;

        Kind(double perSecond, int latencyTargetMillis) {
            this.perSecond = perSecond;
            this.latencyTargetMillis = latencyTargetMillis;
        }
    }

    /** What became of the requests of one kind. */
    static final class Tally {
        int requested;
        int answered;
        int inTime;
        int refused;
        double longestHold;

        double served() {
            return (double) answered / requested;
        }
    }

    private record Event(Instant at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private record SentRequest(Kind kind, Instant at, List<Integer> items) {}

    private static final class Server {
        private final PoolId pool;
        private final BatchContract contract;
        private Instant freeAt = START;
        private long used;

        private Server(PoolId pool, BatchContract contract) {
            this.pool = pool;
            this.contract = contract;
        }
    }

    final Map<Kind, Tally> tallies = new HashMap<>();
    int produced;
    int used;
    int messages;
    private final Random random;
    private final List<VmId> ids = new ArrayList<>();
    private final Map<VmId, Serving> nodes = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<VmId, Server> servers = new HashMap<>();
    private final Map<String, Long> held = new HashMap<>();
    private final Map<FeedName, List<FeedRecord>> records = new HashMap<>();
    private final Map<String, Object> decoded = new HashMap<>();
    private Instant now = START;
    private Instant countFrom = START;
    private long sequence;

    PathLoadWorld(long seed, int count, PolicyFeatures features) {
        random = new Random(seed);
        for (Kind kind : Kind.values()) {
            tallies.put(kind, new Tally());
        }
        for (FeedName name : FeedName.values()) {
            records.put(name, new ArrayList<>());
        }
        write(FeedName.CONFIGURATION, "config", new ConfigurationItem.Published(configuration()));
        list(FIRST, 8);
        list(SECOND, 11);
        list(THIRD, 13);
        list(MODEL, 20);
        for (int number = 1; number <= count; number++) {
            VmId id = new VmId("node-" + number);
            ids.add(id);
            nodes.put(
                    id,
                    new Serving(ServingSetup.builder(new NodeId(id, 1), DOMAIN, decoder())
                            .seed(new VmId("node-1"))
                            .startedAt(START)
                            .features(features)
                            .contention(Contention.ON)
                            .build()));
        }
    }

    private void write(FeedName feed, String key, Object content) {
        String name = feed + "/" + key;
        decoded.put(name, content);
        Optional<byte[]> value = Optional.of(name.getBytes(StandardCharsets.UTF_8));
        records.get(feed).add(new FeedRecord(key, records.get(feed).size(), value));
    }

    private void list(PoolId pool, int count) {
        for (int number = 0; number < count; number++) {
            VmId id = new VmId(pool + "-" + number);
            write(
                    FeedName.DIRECTORY,
                    id.value(),
                    new DirectoryItem.Listed(
                            new Listing(id, 1, pool, "10.0.0.1", 80, DOMAIN, false, Duration.ZERO, "")));
            configuration()
                    .pool(pool)
                    .flatMap(PoolProfile::items)
                    .ifPresent(contract -> servers.put(id, new Server(pool, contract)));
        }
    }

    private RecordDecoder decoder() {
        return new RecordDecoder() {
            @Override
            public ConfigurationItem configuration(FeedRecord record) {
                return (ConfigurationItem) content(record);
            }

            @Override
            public DirectoryItem directory(FeedRecord record) {
                return (DirectoryItem) content(record);
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

    private Object content(FeedRecord record) {
        return decoded.get(new String(record.value().orElseThrow(), StandardCharsets.UTF_8));
    }

    private static ServingConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            Route.Builder route = Route.builder(new RouteId(kind.name()), RouteKind.STREAM)
                    .hostAndPath("turbines.example", "/" + kind.name() + "/")
                    .timeouts(Duration.ofSeconds(15), Duration.ofMillis(kind.latencyTargetMillis))
                    .firstEventWithin(Duration.ofSeconds(8))
                    .rank(kind.ordinal())
                    .open(true)
                    .pool(MODEL, 1);
            STEPS.forEach(route::step);
            routes.add(route.build());
        }
        Map<PoolId, PoolProfile> pools = new HashMap<>();
        pools.put(FIRST, stage(FIRST, 8, 16, 60_000_000));
        pools.put(SECOND, stage(SECOND, 29, 4.45, 8_000_000));
        pools.put(THIRD, stage(THIRD, 50, 2.6, 1_500_000));
        pools.put(MODEL, new PoolProfile(MODEL, 370, 0, Optional.empty(), true));
        return new ServingConfiguration(1, new RouteTable(routes), pools, CallerLimits.DEFAULT, Map.of());
    }

    private static PoolProfile stage(PoolId pool, int batch, double itemMillis, long room) {
        BatchContract contract =
                new BatchContract(1, batch, Duration.ofMillis(150), millis(itemMillis), room, Duration.ofSeconds(4));
        return new PoolProfile(pool, 370, 0, Optional.of(contract), false);
    }

    private static Duration millis(double millis) {
        return Duration.ofNanos(Math.round(millis * 1e6));
    }

    /** Runs so many times the usual load for 16 s; a kind arrives more often for 6 s of them. */
    PathLoadWorld run(double load, Kind bursting, double times) {
        countFrom = START.plus(START_TIME);
        double seconds = 16;
        for (Kind kind : Kind.values()) {
            double at = 0;
            while (at < seconds) {
                boolean burst = kind == bursting && at >= 4 && at < 10;
                at += -Math.log(1 - random.nextDouble()) / (kind.perSecond * load * (burst ? times : 1));
                schedule(countFrom.plus(millis(at * 1000)), () -> request(kind));
            }
        }
        runUntil(countFrom.plus(millis((seconds + 10) * 1000)));
        return this;
    }

    private void runUntil(Instant end) {
        Instant tick = now;
        while (now.isBefore(end)) {
            if (!events.isEmpty() && !events.peek().at().isAfter(tick)) {
                Event event = events.poll();
                now = event.at().isAfter(now) ? event.at() : now;
                event.action().run();
                continue;
            }
            now = tick;
            ids.forEach(id -> handle(id, new ServingEvent.Tick()));
            tick = tick.plus(TICK);
        }
    }

    private void schedule(Instant at, Runnable action) {
        sequence++;
        events.add(new Event(at, sequence, action));
    }

    private void deliver(Duration delay, VmId node, ServingEvent event) {
        schedule(now.plus(delay), () -> handle(node, event));
    }

    private void request(Kind kind) {
        sequence++;
        RequestId id = new RequestId(kind + "-" + sequence);
        List<Integer> items = kind == Kind.DIAGNOSIS
                ? List.of(random.nextDouble() < 0.7 ? 1 + random.nextInt(4) : 0, 0, 0, 0)
                : List.of(0, 1, 8, 16);
        requests.put(id.value(), new SentRequest(kind, now, items));
        tallies.get(kind).requested++;
        handle(
                ids.get(random.nextInt(ids.size())),
                new ServingEvent.RequestArrived(new RoutedRequest(
                        id,
                        "turbines.example",
                        "/" + kind.name() + "/1",
                        Optional.empty(),
                        Duration.ofSeconds(15),
                        items,
                        Optional.of("key"),
                        List.of(),
                        1000,
                        0,
                        Optional.empty())));
    }

    private void handle(VmId node, ServingEvent event) {
        for (ServingEffect effect : nodes.get(node).handle(event, now)) {
            switch (effect) {
                case ServingEffect.ReadFeed read -> read(node, read);
                case ServingEffect.WriteRecord write -> {
                    records.get(write.feed())
                            .add(new FeedRecord(
                                    write.key(), records.get(write.feed()).size(), write.value()));
                    deliver(MESSAGE_DELAY, node, new ServingEvent.RecordWritten(write.feed(), write.key(), true));
                }
                case ServingEffect.SendToPeer send -> {
                    messages++;
                    deliver(
                            MESSAGE_DELAY,
                            send.receiver(),
                            new ServingEvent.PeerMessageReceived(new NodeId(node, 1), send.message()));
                }
                case ServingEffect.ProbeUpstream probe ->
                    deliver(
                            MESSAGE_DELAY,
                            node,
                            new ServingEvent.ConnectEnded(probe.upstream().id(), Optional.empty()));
                case ServingEffect.CallBatch call -> call(node, call.call());
                case ServingEffect.ReleaseResults release -> release(node, release);
                case ServingEffect.Send send -> answer(node, send.order());
                case ServingEffect.Refuse refuse -> refused(refuse);
                default -> {
                    // Not relevant to the load.
                }
            }
        }
    }

    private void read(VmId node, ServingEffect.ReadFeed read) {
        List<FeedRecord> all = records.get(read.feed());
        if (read.read() instanceof FeedReader.Read.From from) {
            List<FeedRecord> rest = List.copyOf(all.subList((int) from.from(), all.size()));
            Duration delay = rest.isEmpty() ? Duration.ofMillis(200) : MESSAGE_DELAY;
            FeedBatch batch = new FeedBatch(all.size(), false, rest);
            deliver(delay, node, new ServingEvent.FeedRead(read.feed(), batch));
            return;
        }
        Map<String, FeedRecord> newest = new HashMap<>();
        all.forEach(record -> newest.put(record.key(), record));
        deliver(
                MESSAGE_DELAY,
                node,
                new ServingEvent.FeedListed(read.feed(), List.copyOf(newest.values()), false, all.size()));
    }

    private void call(VmId node, BatchCall call) {
        Server server = servers.get(call.upstream().id());
        Instant start = server.freeAt.isAfter(now) ? server.freeAt : now;
        double itemMillis = server.pool.equals(THIRD)
                ? REAL_ITEM_MILLIS_OF_THIRD
                : server.contract.itemTime().toNanos() / 1e6;
        server.freeAt = start.plus(server.contract.callTime())
                .plus(millis(itemMillis * call.items().size()));
        List<ItemAnswer> answers = new ArrayList<>();
        for (BatchCall.Item item : call.items()) {
            long bytes = STEPS.get(item.step()).resultBytes();
            if (server.used + bytes > server.contract.resultCapacityBytes()) {
                answers.add(new ItemAnswer.NoRoom());
                continue;
            }
            sequence++;
            produced++;
            String handle = call.upstream().id() + "/" + sequence;
            server.used += bytes;
            held.put(handle, bytes);
            answers.add(new ItemAnswer.Made(handle));
            schedule(server.freeAt.plus(server.contract.resultLifetime()), () -> free(server, handle));
        }
        deliver(
                Duration.between(now, server.freeAt).plusMillis(3),
                node,
                new ServingEvent.BatchCallEnded(call.number(), new BatchCallEnd.Answered(answers), Optional.empty()));
    }

    private void free(Server server, String handle) {
        Long bytes = held.remove(handle);
        server.used -= bytes == null ? 0 : bytes;
    }

    private void release(VmId node, ServingEffect.ReleaseResults release) {
        Server server = servers.get(release.server().id());
        schedule(now.plus(MESSAGE_DELAY), () -> {
            release.handles().forEach(handle -> free(server, handle));
            handle(node, new ServingEvent.ReleaseEnded(release.release(), true, Optional.empty()));
        });
    }

    private void answer(VmId node, SendOrder order) {
        SentRequest request = requests.get(order.request().value());
        schedule(now.plus(ENGINE_TIME), () -> {
            Tally tally = tallies.get(request.kind());
            tally.answered++;
            request.items().forEach(items -> used += items);
            boolean inTime = Duration.between(request.at(), now).toMillis() <= request.kind().latencyTargetMillis;
            tally.inTime += inTime ? 1 : 0;
            handle(node, new ServingEvent.AnswerStarted(order.request(), order.attempt()));
        });
        deliver(
                ENGINE_TIME.plusMillis(300),
                node,
                new ServingEvent.SendEnded(order.request(), order.attempt(), new SendEnd.Passed()));
    }

    private void refused(ServingEffect.Refuse refuse) {
        SentRequest request = requests.get(refuse.request().value());
        Tally tally = tallies.get(request.kind());
        tally.refused++;
        double hold = (double) Duration.between(request.at(), now).toMillis() / request.kind().latencyTargetMillis;
        tally.longestHold = Math.max(tally.longestHold, hold);
    }

    /** The share of the results produced that no answered request used. */
    double unused() {
        return 1 - (double) used / produced;
    }

    /** The number of requests of all kinds that were answered in time. */
    int inTime() {
        return tallies.values().stream().mapToInt(tally -> tally.inTime).sum();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        for (Kind kind : Kind.values()) {
            Tally tally = tallies.get(kind);
            text.append(String.format(
                    Locale.ROOT,
                    "%s %d answered %.3f in time %.3f refused %d hold %.3f; ",
                    kind,
                    tally.requested,
                    tally.served(),
                    (double) tally.inTime / tally.requested,
                    tally.refused,
                    tally.longestHold));
        }
        return text + String.format(Locale.ROOT, "unused %.4f messages %d", unused(), messages);
    }
}
