package org.wagtaillug.serving;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.batch.BatchCallEnd.ItemAnswer;
import org.wagtaillug.clock.SteadyClock;
import org.wagtaillug.clock.WallClockMonitor;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.feed.RolloutItem;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.quarantine.QuarantineReport;
import org.wagtaillug.rollout.RolloutOrder;
import org.wagtaillug.rollout.RolloutStatus;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.RouteTable;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;
import org.wagtaillug.routing.PrefixSegment;

/**
 * Simulates several nodes, a store, stage servers and messages in memory, with a common clock. Upstreams of requests
 * take no action by themselves: a test determines how each attempt ends.
 */
final class ServingWorld {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final PoolId ORDERS = new PoolId("orders");
    static final PoolId ENCODE = new PoolId("encode");
    static final PoolId RANK = new PoolId("rank");
    static final PoolId MODEL = new PoolId("model");
    static final DomainId NORTH = new DomainId("north");
    static final DomainId SOUTH = new DomainId("south");
    static final String KEY = "key-of-office";

    /** 150 ms per call and 20 ms per item, six items per call, room for forty results of 10 kB. */
    static final BatchContract ITEMS =
            new BatchContract(1, 6, Duration.ofMillis(150), Duration.ofMillis(20), 400_000, Duration.ofSeconds(4));

    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);

    final Map<VmId, Serving> nodes = new HashMap<>();
    final Map<VmId, List<ServingEffect>> effectsByNode = new HashMap<>();
    final List<ServingEffect> effectHistory = new ArrayList<>();
    final List<BatchCall> batchCalls = new ArrayList<>();
    final Map<String, Integer> releaseCounts = new HashMap<>();
    final Set<VmId> cutOffFromStore = new HashSet<>();
    final Set<VmId> refusedByStore = new HashSet<>();

    /** Feeds that the store does not answer for, while it serves the others. */
    final Set<FeedName> feedsAway = EnumSet.noneOf(FeedName.class);

    final Set<VmId> failed = new HashSet<>();

    /** Nodes that receive no messages from other nodes. */
    final Set<VmId> isolatedNodes = new HashSet<>();

    /** Nodes of an earlier build, which neither send nor understand messages about streams and name no recipients. */
    final Set<VmId> earlierBuilds = new HashSet<>();

    /** Nodes that cannot connect to any upstream, with the time until an attempt to connect fails. */
    final Map<VmId, Duration> withoutUpstreams = new HashMap<>();

    /** Upstreams that have ended, so that no node can connect to them. */
    final Set<VmId> endedUpstreams = new HashSet<>();

    /** Whether those nodes can open connections, which are reset before any answer. */
    boolean resetsAfterConnect;

    /** What stage servers announce in their answers; one that requests a pause refuses all requests. */
    final Map<VmId, UpstreamNotice> notices = new HashMap<>();

    final Map<FeedName, List<FeedRecord>> store = new HashMap<>();
    /** By how much the wall clocks of nodes are ahead of the time. */
    final Map<VmId, Duration> wallClockErrors = new HashMap<>();

    /** Decides which messages of a node are lost. */
    BiPredicate<VmId, ServingEffect.SendToPeer> lost = (sender, send) -> false;

    /** Gets the attempts that nodes send. */
    BiConsumer<VmId, SendOrder> onSend = (sender, order) -> {};

    /** When the features for contended upstreams take effect on nodes that are started from now on. */
    Contention contention = Contention.ANNOUNCED;

    Duration answerDelay = MESSAGE_DELAY;
    Instant now = START;
    private final Duration grace;
    private final PolicyFeatures features;
    private final Map<VmId, Long> incarnations = new HashMap<>();
    private final Map<VmId, SteadyClock> clocks = new HashMap<>();
    private final Map<VmId, WallClockMonitor> wallClocks = new HashMap<>();
    private final Map<Long, PoolId> pools = new HashMap<>();
    private final Map<String, Object> decodedRecords = new HashMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private long sequence;
    private long era;
    private int results;

    private record Delivery(Instant at, long number, Runnable action) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Starts nodes with the first one as their seed. */
    ServingWorld(int count) {
        this(count, Duration.ofSeconds(8));
    }

    /** Starts nodes with the given grace period for their shutdown. */
    ServingWorld(int count, Duration grace) {
        this(count, grace, Contention.ANNOUNCED, PolicyFeatures.ALL);
    }

    /** Starts nodes with some of the policy features. */
    ServingWorld(int count, Duration grace, Contention contention, PolicyFeatures features) {
        this.grace = grace;
        this.contention = contention;
        this.features = features;
        for (FeedName name : FeedName.values()) {
            store.put(name, new ArrayList<>());
        }
        for (int number = 1; number <= count; number++) {
            start(node(number), 1);
        }
    }

    static VmId node(int number) {
        return new VmId("node-" + number);
    }

    /** Starts or restarts a node. */
    void start(VmId vm, long incarnation) {
        failed.remove(vm);
        ServingSetup setup = ServingSetup.builder(new NodeId(vm, incarnation), NORTH, decoder())
                .seed(node(1))
                .startedAt(Instant.ofEpochMilli(incarnation))
                .drainGrace(grace)
                .acceptsTunnels(true)
                .contention(earlierBuilds.contains(vm) ? Contention.OFF : contention)
                .features(features)
                .build();
        nodes.put(vm, new Serving(setup));
        incarnations.put(vm, incarnation);
        Clock wall = ((InstantSource) () -> wallTime(vm)).withZone(ZoneOffset.UTC);
        LongSupplier nanos = () -> Duration.between(START, now).toNanos();
        SteadyClock clock = new SteadyClock(wall, nanos);
        clocks.put(vm, clock);
        wallClocks.put(vm, new WallClockMonitor(clock));
        effectsByNode.computeIfAbsent(vm, id -> new ArrayList<>());
    }

    private RecordDecoder decoder() {
        return new RecordDecoder() {
            @Override
            public ConfigurationItem configuration(FeedRecord record) {
                return (ConfigurationItem) decodedRecords.get(text(record));
            }

            @Override
            public DirectoryItem directory(FeedRecord record) {
                return record.value().isEmpty()
                        ? new DirectoryItem.Removed(new VmId(record.key()))
                        : (DirectoryItem) decodedRecords.get(text(record));
            }

            @Override
            public RolloutItem rollout(FeedRecord record) {
                return (RolloutItem) decodedRecords.get(text(record));
            }

            @Override
            public String rolloutKey(PoolId pool) {
                return "rollout/" + pool;
            }

            @Override
            public byte[] encode(RolloutStatus status) {
                String name = "status/" + decodedRecords.size();
                PoolId pool = pools.get(status.order());
                decodedRecords.put(name, new RolloutItem.Reported(pool, status));
                return name.getBytes(StandardCharsets.UTF_8);
            }
        };
    }

    private static String text(FeedRecord record) {
        return new String(record.value().orElseThrow(), StandardCharsets.UTF_8);
    }

    /** Writes to the store. */
    void write(FeedName feed, String key, Object content) {
        sequence++;
        String name = feed + "/" + sequence;
        decodedRecords.put(name, content);
        Optional<byte[]> value = Optional.of(name.getBytes(StandardCharsets.UTF_8));
        store.get(feed).add(new FeedRecord(key, store.get(feed).size(), value));
    }

    /** Removes a key from the store. */
    void remove(FeedName feed, String key) {
        store.get(feed).add(new FeedRecord(key, store.get(feed).size(), Optional.empty()));
    }

    /** The number of records of each feed, as a copy of the store. */
    Map<FeedName, Integer> copyStore() {
        Map<FeedName, Integer> copy = new HashMap<>();
        store.forEach((feed, records) -> copy.put(feed, records.size()));
        return copy;
    }

    /** Replaces the store by an earlier copy: later records are gone, and their offsets are given out again. */
    void restoreStore(Map<FeedName, Integer> copy) {
        era++;
        copy.forEach((feed, size) ->
                store.get(feed).subList(size, store.get(feed).size()).clear());
    }

    void publish(ServingConfiguration configuration) {
        write(FeedName.CONFIGURATION, "config", new ConfigurationItem.Published(configuration));
    }

    void register(String id, PoolId pool, DomainId domain, boolean leaving, Duration remainingColdTime) {
        Listing listing = new Listing(new VmId(id), 1, pool, "10.0.0.1", 80, domain, leaving, remainingColdTime, "");
        write(FeedName.DIRECTORY, id, new DirectoryItem.Listed(listing));
    }

    void register(String id, PoolId pool, int slots) {
        Listing listing = new Listing(new VmId(id), 1, pool, "10.0.0.1", 80, NORTH, false, Duration.ZERO, "", slots, 0);
        write(FeedName.DIRECTORY, id, new DirectoryItem.Listed(listing));
    }

    void register(String id, PoolId pool, String version) {
        Listing listing = new Listing(new VmId(id), 1, pool, "10.0.0.1", 80, NORTH, false, Duration.ZERO, version);
        write(FeedName.DIRECTORY, id, new DirectoryItem.Listed(listing));
    }

    /** Orders a rollout of a pool. */
    void orderRollout(PoolId pool, String version, Duration within) {
        long id = store.get(FeedName.CONFIGURATION).size();
        pools.put(id, pool);
        RolloutOrder order = new RolloutOrder(id, pool, version, within);
        write(FeedName.CONFIGURATION, "rollout/" + pool, new ConfigurationItem.RolloutOrdered(order));
    }

    /** The newest status of a rollout that the store holds. */
    Optional<RolloutStatus> rolloutStatus() {
        List<FeedRecord> records = store.get(FeedName.ROLLOUTS);
        return records.isEmpty()
                ? Optional.empty()
                : Optional.of(((RolloutItem.Reported) decodedRecords.get(text(records.getLast()))).status());
    }

    /**
     * Registers two servers of each pool, one in each failure domain, publishes all routes and waits until the nodes
     * know them.
     */
    void startServing() {
        startServing(Duration.ofSeconds(6));
    }

    /** The same, with the given timeout of all routes. */
    void startServing(Duration timeout) {
        for (PoolId pool : List.of(ORDERS, ENCODE, RANK, MODEL)) {
            register(pool + "-1", pool, NORTH, false, Duration.ZERO);
            register(pool + "-2", pool, SOUTH, false, Duration.ZERO);
        }
        publish(configuration(1, timeout));
        run(Duration.ofSeconds(2));
    }

    static ServingConfiguration configuration(long version) {
        return configuration(version, Duration.ofSeconds(6));
    }

    /** A configuration with all routes and the given timeout. */
    static ServingConfiguration configuration(long version, Duration timeout) {
        List<Route> routes = List.of(
                route("confirm", RouteKind.ONCE, 1, false, timeout)
                        .pool(ORDERS, 1)
                        .build(),
                route("lookup", RouteKind.IDEMPOTENT, 2, false, timeout)
                        .pool(ORDERS, 1)
                        .build(),
                route("draft", RouteKind.STREAM, 1, false, timeout)
                        .pool(MODEL, 1)
                        .step(new Step(0, ENCODE, List.of(), 10_000))
                        .build(),
                route("question", RouteKind.STREAM, 2, true, timeout)
                        .pool(MODEL, 1)
                        .step(new Step(0, ENCODE, List.of(), 10_000))
                        .step(new Step(1, RANK, List.of(0), 10_000))
                        .build());
        Map<PoolId, PoolProfile> pools = new HashMap<>();
        pools.put(ORDERS, new PoolProfile(ORDERS, 120, 0, Optional.empty(), false));
        pools.put(ENCODE, new PoolProfile(ENCODE, 120, 0, Optional.of(ITEMS), false));
        pools.put(RANK, new PoolProfile(RANK, 120, 0, Optional.of(ITEMS), false));
        pools.put(MODEL, new PoolProfile(MODEL, 120, 8, Optional.empty(), true));
        Customer office = new Customer(new CustomerId("office"), OptionalInt.empty());
        return new ServingConfiguration(
                version, new RouteTable(routes), pools, CallerLimits.DEFAULT, Map.of(KEY, office));
    }

    private static Route.Builder route(String name, RouteKind kind, int attempts, boolean resumable, Duration timeout) {
        return Route.builder(new RouteId(name), kind)
                .hostAndPath("shop.example", "/" + name + "/")
                .timeouts(timeout, Duration.ofMillis(1500))
                .firstEventWithin(Duration.ofSeconds(5))
                .attempts(attempts)
                .resumable(resumable);
    }

    /** Sends a request to the route of this name. */
    RequestId request(int node, String route, Integer... items) {
        sequence++;
        RequestId id = new RequestId(route + "-" + sequence);
        request(node, id, "/" + route + "/1", Optional.of(KEY), items);
        return id;
    }

    void request(int node, RequestId id, String path, Optional<String> key, Integer... items) {
        request(node, id, path, key, Duration.ofSeconds(6), items);
    }

    /** Sends a request with the given timeout of its caller. */
    void request(int node, RequestId id, String path, Optional<String> key, Duration callerTimeout, Integer... items) {
        arrive(node(node), id, path, key, callerTimeout, List.of(items), List.of(), Optional.empty());
    }

    /** Sends a request that takes up an interrupted stream, or begins one. */
    void stream(VmId node, RequestId id, String route, Duration callerTimeout, Optional<Resumption> resumption) {
        arrive(node, id, "/" + route + "/1", Optional.of(KEY), callerTimeout, List.of(), List.of(), resumption);
    }

    /** Sends a request with a prompt of segments of 300 tokens each, which may take up an interrupted stream. */
    void prompt(
            VmId node,
            RequestId id,
            String path,
            Duration callerTimeout,
            List<String> segments,
            Optional<Resumption> resumption) {
        List<PrefixSegment> prompt = segments.stream()
                .map(segment -> new PrefixSegment(segment, 300))
                .toList();
        arrive(node, id, path, Optional.of(KEY), callerTimeout, List.of(), prompt, resumption);
    }

    private void arrive(
            VmId node,
            RequestId id,
            String path,
            Optional<String> key,
            Duration callerTimeout,
            List<Integer> items,
            List<PrefixSegment> prompt,
            Optional<Resumption> resumption) {
        handle(
                node,
                new ServingEvent.RequestArrived(new RoutedRequest(
                        id,
                        "shop.example",
                        path,
                        key,
                        callerTimeout,
                        items,
                        Optional.of("piece-key"),
                        prompt,
                        1000,
                        0,
                        resumption)));
    }

    /** The wall clock of a node. */
    Instant wallTime(VmId vm) {
        return now.plus(wallClockErrors.getOrDefault(vm, Duration.ZERO));
    }

    /** Passes an event to a node and executes its effects. */
    void handle(VmId vm, ServingEvent event) {
        if (failed.contains(vm)) {
            return;
        }
        wallClocks.get(vm).pollChange().ifPresent(offset -> decide(vm, new ServingEvent.WallClockSet(offset)));
        decide(vm, event);
    }

    private void decide(VmId vm, ServingEvent event) {
        for (ServingEffect effect : nodes.get(vm).handle(event, clocks.get(vm).now())) {
            effectsByNode.get(vm).add(effect);
            effectHistory.add(effect);
            execute(vm, effect);
        }
    }

    private void execute(VmId vm, ServingEffect effect) {
        switch (effect) {
            case ServingEffect.Send send -> onSend.accept(vm, send.order());
            case ServingEffect.ReadFeed read -> read(vm, read);
            case ServingEffect.SendToPeer send -> {
                boolean isolated = isolatedNodes.contains(vm) || isolatedNodes.contains(send.receiver());
                boolean understood = !aboutStreams(send.message())
                        || !(earlierBuilds.contains(vm) || earlierBuilds.contains(send.receiver()));
                if (!isolated && understood && !lost.test(vm, send)) {
                    schedule(
                            MESSAGE_DELAY.plus(delay(send)),
                            send.receiver(),
                            new ServingEvent.PeerMessageReceived(
                                    new NodeId(vm, incarnations.get(vm)), decoded(vm, send.message())));
                }
            }
            case ServingEffect.WriteRecord write -> write(vm, write);
            case ServingEffect.CallBatch call -> callBatch(vm, call.call());
            case ServingEffect.ProbeUpstream probe -> probe(vm, probe.upstream().id());
            case ServingEffect.ReleaseResults release
            when withoutUpstreams.containsKey(vm) ->
                schedule(
                        withoutUpstreams.get(vm),
                        vm,
                        new ServingEvent.ReleaseEnded(release.release(), false, Optional.empty()));
            case ServingEffect.ReleaseResults release -> {
                release.handles().forEach(handle -> releaseCounts.merge(handle, 1, Integer::sum));
                Optional<UpstreamNotice> notice =
                        Optional.ofNullable(notices.get(release.server().id()));
                boolean refused =
                        notice.filter(announced -> !announced.pause().isZero()).isPresent();
                schedule(MESSAGE_DELAY, vm, new ServingEvent.ReleaseEnded(release.release(), !refused, notice));
            }
            default -> {
                // Tests read these from the recorded effects.
            }
        }
    }

    private static boolean aboutStreams(ServingMessage message) {
        return message instanceof ServingMessage.StreamsBegan
                || message instanceof ServingMessage.StreamQuery
                || message instanceof ServingMessage.StreamReply;
    }

    /** A message as its receiver decodes it. */
    private ServingMessage decoded(VmId sender, ServingMessage message) {
        if (message instanceof ServingMessage.BatchReply reply && earlierBuilds.contains(sender)) {
            return new ServingMessage.BatchReply(
                    Optional.empty(), reply.number(), reply.outcome(), reply.callDuration());
        }
        if (!(message instanceof ServingMessage.Heartbeat heartbeat) || !earlierBuilds.contains(sender)) {
            return message;
        }
        return new ServingMessage.Heartbeat(
                heartbeat.reply(),
                heartbeat.serving(),
                heartbeat.follows(),
                heartbeat.storeLost(),
                heartbeat.positions(),
                heartbeat.waits(),
                heartbeat.rateLimits(),
                heartbeat.departures(),
                heartbeat.paths(),
                false,
                QuarantineReport.UNSUPPORTED,
                ContentionReport.UNSUPPORTED);
    }

    private Duration delay(ServingEffect.SendToPeer send) {
        boolean answer = send.message() instanceof ServingMessage.BatchReply;
        return answer ? answerDelay.minus(MESSAGE_DELAY) : Duration.ZERO;
    }

    private void write(VmId vm, ServingEffect.WriteRecord write) {
        List<FeedRecord> records = store.get(write.feed());
        long end = FeedPosition.of(era, records.size());
        boolean asExpected = write.expectedEnd().orElse(end) == end;
        boolean done = asExpected
                && !refusedByStore.contains(vm)
                && !cutOffFromStore.contains(vm)
                && !feedsAway.contains(write.feed());
        if (done) {
            records.add(new FeedRecord(write.key(), records.size(), write.value()));
        }
        schedule(MESSAGE_DELAY, vm, new ServingEvent.RecordWritten(write.feed(), write.key(), done));
    }

    private void read(VmId vm, ServingEffect.ReadFeed read) {
        if (refusedByStore.contains(vm)) {
            schedule(MESSAGE_DELAY, vm, new ServingEvent.FeedFailed(read.feed(), "status 503"));
            return;
        }
        if (cutOffFromStore.contains(vm) || feedsAway.contains(read.feed())) {
            schedule(Duration.ofMillis(900), vm, new ServingEvent.FeedFailed(read.feed(), "cut off"));
            return;
        }
        List<FeedRecord> all = store.get(read.feed());
        long end = FeedPosition.of(era, all.size());
        switch (read.read()) {
            case FeedReader.Read.Newest ignored -> {
                Map<String, FeedRecord> newest = new HashMap<>();
                all.forEach(record -> newest.put(record.key(), inEra(record)));
                newest.values().removeIf(record -> record.value().isEmpty());
                schedule(
                        MESSAGE_DELAY,
                        vm,
                        new ServingEvent.FeedListed(read.feed(), List.copyOf(newest.values()), false, end));
            }
            case FeedReader.Read.From from
            when from.from() > end || FeedPosition.era(from.from()) != era ->
                schedule(MESSAGE_DELAY, vm, new ServingEvent.FeedTruncated(read.feed()));
            case FeedReader.Read.From from -> {
                List<FeedRecord> rest = all.subList((int) FeedPosition.offset(from.from()), all.size());
                Duration wait = rest.isEmpty() ? from.longestWait().dividedBy(10) : Duration.ZERO;
                FeedBatch batch =
                        new FeedBatch(end, false, rest.stream().map(this::inEra).toList());
                schedule(MESSAGE_DELAY.plus(wait), vm, new ServingEvent.FeedRead(read.feed(), batch));
            }
        }
    }

    private FeedRecord inEra(FeedRecord record) {
        return new FeedRecord(record.key(), FeedPosition.of(era, record.offset()), record.value());
    }

    /** Lets a node send an upstream a request and wait for its answer. */
    private void probe(VmId vm, VmId upstream) {
        Optional<Duration> failure = endedUpstreams.contains(upstream)
                ? Optional.of(MESSAGE_DELAY)
                : Optional.ofNullable(withoutUpstreams.get(vm));
        schedule(
                failure.orElse(MESSAGE_DELAY),
                vm,
                new ServingEvent.ConnectEnded(upstream, failure.map(after -> "reset or connect timeout")));
    }

    /** Lets a node connect to an upstream, which fails without a path. */
    void connect(VmId vm, VmId upstream) {
        Optional<Duration> failure =
                Optional.ofNullable(withoutUpstreams.get(vm)).filter(after -> !resetsAfterConnect);
        schedule(
                failure.orElse(MESSAGE_DELAY),
                vm,
                new ServingEvent.ConnectEnded(upstream, failure.map(after -> "connect timeout")));
    }

    private void callBatch(VmId vm, BatchCall call) {
        if (withoutUpstreams.containsKey(vm)) {
            schedule(
                    withoutUpstreams.get(vm),
                    vm,
                    new ServingEvent.BatchCallEnded(
                            call.number(),
                            resetsAfterConnect
                                    ? new BatchCallEnd.Broken("reset")
                                    : new BatchCallEnd.Unsent("connect timeout"),
                            Optional.empty()));
            return;
        }
        batchCalls.add(call);
        List<ItemAnswer> answers = new ArrayList<>();
        for (int item = 0; item < call.items().size(); item++) {
            results++;
            answers.add(new ItemAnswer.Made("result-" + results));
        }
        Optional<UpstreamNotice> notice =
                Optional.ofNullable(notices.get(call.upstream().id()));
        boolean refused =
                notice.filter(announced -> !announced.pause().isZero()).isPresent();
        schedule(
                refused ? MESSAGE_DELAY : ITEMS.callOf(call.items().size()),
                vm,
                new ServingEvent.BatchCallEnded(
                        call.number(),
                        refused ? new BatchCallEnd.NotRun() : new BatchCallEnd.Answered(answers),
                        notice));
    }

    void schedule(Duration delay, VmId vm, ServingEvent event) {
        schedule(delay, () -> handle(vm, event));
    }

    /** Runs an action after a time. */
    void schedule(Duration delay, Runnable action) {
        sequence++;
        deliveries.add(new Delivery(now.plus(delay), sequence, action));
    }

    /** Advances the clock. */
    void run(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            Instant next = now.plus(STEP);
            while (!deliveries.isEmpty() && !deliveries.peek().at().isAfter(next)) {
                Delivery delivery = deliveries.poll();
                now = delivery.at().isAfter(now) ? delivery.at() : now;
                delivery.action().run();
            }
            now = next;
            for (VmId vm : List.copyOf(nodes.keySet())) {
                handle(vm, new ServingEvent.Tick());
            }
        }
    }

    /** Returns the attempts of a request, by any node. */
    List<SendOrder> sends(RequestId request) {
        List<SendOrder> sends = new ArrayList<>();
        for (List<ServingEffect> effects : effectsByNode.values()) {
            for (ServingEffect effect : effects) {
                if (effect instanceof ServingEffect.Send send
                        && send.order().request().equals(request)) {
                    sends.add(send.order());
                }
            }
        }
        return sends;
    }

    /** Returns the refusals of a request. */
    List<ServingEffect.Refuse> refusals(RequestId request) {
        return effects(ServingEffect.Refuse.class).stream()
                .filter(refuse -> refuse.request().equals(request))
                .toList();
    }

    /** Returns all effects of a type. */
    <T extends ServingEffect> List<T> effects(Class<T> kind) {
        List<T> found = new ArrayList<>();
        effectsByNode
                .values()
                .forEach(effects -> effects.forEach(effect -> {
                    if (kind.isInstance(effect)) {
                        found.add(kind.cast(effect));
                    }
                }));
        return found;
    }

    /** Ends the latest attempt of a request. */
    void endAttempt(int node, RequestId request, SendEnd end) {
        handle(
                node(node),
                new ServingEvent.SendEnded(request, sends(request).getLast().attempt(), end));
    }

    /** Starts a successful answer to the latest attempt of a request. */
    void startAnswer(int node, RequestId request) {
        handle(
                node(node),
                new ServingEvent.AnswerStarted(request, sends(request).getLast().attempt()));
    }
}
