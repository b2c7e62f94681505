package org.wagtaillug.serving;

import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.SOUTH;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.route.EngineCapacity;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.RouteTable;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.routing.PrefixSegment;

/** Nodes before engines that read prompts in chunks between the tokens of running streams, some of them slow at times. */
final class AssignmentFleet {
    static final PoolId POOL = new PoolId("engines");
    private static final double TOKENS_PER_MILLI = 69.8;
    private static final double STEP_MILLIS = 4.39;
    private static final int CHUNK = 2048;
    private static final int TOKENS_PER_EVENT = 6;
    private static final int SLOTS = 32;
    private static final long MEMORY_TOKENS = 400_000;
    private static final double SLOW = 2.5;
    private static final double SLOW_SHARE = 0.15;
    private static final Duration SLOW_TIME = Duration.ofMillis(600);
    private static final Duration LINK_DELAY = Duration.ofMillis(1);

    /** A kind of request: its usual rate before 78 engines, what its prompts share, and the rest of prompt and answer. */
    private record Kind(
            double perSecond,
            int houses,
            int houseTokens,
            int sessions,
            int sessionTokens,
            int ownTokens,
            int output) {}

    private static final List<Kind> KINDS = List.of(
            new Kind(78, 4, 2520, 1000, 3780, 2890, 52),
            new Kind(109, 53, 341, 1188, 227, 1800, 23),
            new Kind(48, 10, 103, 457, 69, 543, 280));

    private static final int LONGEST_PROMPT = 39_600;

    final ServingWorld world;
    final Map<VmId, Engine> engines = new LinkedHashMap<>();

    /** The times to the first event, in milliseconds. */
    final List<Double> firstEventMillis = new ArrayList<>();

    /** The longest pause of each stream that has ended, in milliseconds. */
    final List<Double> longestPauses = new ArrayList<>();

    /** Whether engines answer by themselves. */
    boolean answers = true;

    private final Random random;
    private final Map<RequestId, RoutedRequest> requests = new HashMap<>();
    private final Map<RequestId, Instant> arrivals = new HashMap<>();
    private final int nodes;

    AssignmentFleet(int nodes, int engineCount, long seed, Contention contention, PolicyFeatures features) {
        this.nodes = nodes;
        random = new Random(seed);
        world = new ServingWorld(nodes, Duration.ofSeconds(8), contention, features);
        for (int number = 1; number <= engineCount; number++) {
            VmId id = new VmId("engine-" + number);
            engines.put(id, new Engine(id));
            world.register(id.value(), POOL, number % 2 == 0 ? NORTH : SOUTH, false, Duration.ZERO);
        }
        world.onSend = this::onSend;
        world.publish(configuration());
        world.run(Duration.ofSeconds(3));
        changeSlowEngines(new Random(seed));
    }

    private static ServingConfiguration configuration() {
        Route route = Route.builder(new RouteId("ask"), RouteKind.STREAM)
                .hostAndPath("shop.example", "/ask/")
                .timeouts(Duration.ofSeconds(6), Duration.ofMillis(1500))
                .firstEventWithin(Duration.ofSeconds(5))
                .attempts(2)
                .open(true)
                .pool(POOL, 1)
                .build();
        PoolProfile pool =
                new PoolProfile(POOL, 760, 0, Optional.empty(), Optional.of(new EngineCapacity(SLOTS, MEMORY_TOKENS)));
        return new ServingConfiguration(
                1, new RouteTable(List.of(route)), Map.of(POOL, pool), CallerLimits.DEFAULT, Map.of());
    }

    private void changeSlowEngines(Random choice) {
        engines.values().forEach(engine -> engine.slowdown = choice.nextDouble() < SLOW_SHARE ? SLOW : 1);
        world.schedule(SLOW_TIME, () -> changeSlowEngines(choice));
    }

    /** Lets requests arrive at random nodes at a multiple of the usual rate. */
    void load(double times, Duration time) {
        double scale = times * engines.size() / 78;
        for (Kind kind : KINDS) {
            double at = 0;
            while (at < time.toMillis()) {
                at += -Math.log(1 - random.nextDouble()) * 1000 / (kind.perSecond() * scale);
                int session = random.nextInt(kind.sessions());
                int own = (int) Math.min(LONGEST_PROMPT, -Math.log(1 - random.nextDouble()) * kind.ownTokens()) + 1;
                int node = random.nextInt(nodes) + 1;
                world.schedule(Duration.ofNanos(Math.round(at * 1e6)), () -> ask(node, kind, session, own));
            }
        }
        world.run(time);
    }

    private void ask(int node, Kind kind, int session, int own) {
        int number = KINDS.indexOf(kind);
        List<PrefixSegment> segments = List.of(
                new PrefixSegment(number + "-house-" + session % kind.houses(), kind.houseTokens()),
                new PrefixSegment(number + "-session-" + session, kind.sessionTokens()));
        int prompt = kind.houseTokens() + kind.sessionTokens() + own;
        ask(node, "request-" + requests.size(), segments, prompt, kind.output());
    }

    RequestId ask(int node, String name, List<PrefixSegment> segments, int promptTokens, int outputTokens) {
        RequestId id = new RequestId(name);
        RoutedRequest request = new RoutedRequest(
                id,
                "shop.example",
                "/ask/1",
                Optional.empty(),
                Duration.ofSeconds(6),
                List.of(),
                Optional.empty(),
                segments,
                promptTokens,
                outputTokens,
                Optional.empty());
        requests.put(id, request);
        arrivals.put(id, world.now);
        world.handle(ServingWorld.node(node), new ServingEvent.RequestArrived(request));
        return id;
    }

    private void onSend(VmId node, SendOrder order) {
        if (answers) {
            Engine engine = engines.get(order.upstream().id());
            world.schedule(LINK_DELAY, () -> engine.onRequest(new Job(node, order)));
        }
    }

    /** The value that a share of the sorted values does not exceed. */
    static double quantile(List<Double> values, double share) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(share * sorted.size())));
    }

    private final class Job {
        private final VmId node;
        private final SendOrder order;
        private final RoutedRequest request;
        private double unread;
        private int generated;
        private Instant lastEvent;
        private double longestPause;

        Job(VmId node, SendOrder order) {
            this.node = node;
            this.order = order;
            this.request = requests.get(order.request());
        }
    }

    /** One engine. */
    final class Engine {
        private final VmId id;
        private final Deque<Job> reading = new ArrayDeque<>();
        private final List<Job> running = new ArrayList<>();
        private final LinkedHashMap<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
        private long cachedTokens;
        private double slowdown = 1;
        private boolean stepping;

        Engine(VmId id) {
            this.id = id;
        }

        private void onRequest(Job job) {
            int cached = 0;
            int shared = 0;
            boolean hit = true;
            for (PrefixSegment segment : job.request.promptSegments()) {
                hit &= cache.containsKey(segment.id());
                cached += hit ? segment.tokens() : 0;
                shared += segment.tokens();
                keep(segment.id(), segment.tokens());
            }
            keep(job.request.id().value(), job.request.promptTokens() - shared);
            job.unread = job.request.promptTokens() - cached;
            reading.add(job);
            if (!stepping) {
                step();
            }
        }

        private void keep(String segment, int tokens) {
            Integer before = cache.put(segment, tokens);
            cachedTokens += tokens - (before == null ? 0 : before);
            Iterator<Map.Entry<String, Integer>> eldest = cache.entrySet().iterator();
            while (cachedTokens > MEMORY_TOKENS / 2) {
                cachedTokens -= eldest.next().getValue();
                eldest.remove();
            }
        }

        /** Reads a chunk and generates a token of each running stream. */
        private void step() {
            stepping = !reading.isEmpty() || !running.isEmpty();
            if (!stepping) {
                return;
            }
            double room = CHUNK;
            List<Job> read = new ArrayList<>();
            while (room > 0 && !reading.isEmpty()) {
                Job job = reading.peek();
                double tokens = Math.min(room, job.unread);
                job.unread -= tokens;
                room -= tokens;
                if (job.unread <= 0) {
                    read.add(reading.remove());
                }
            }
            double millis = (STEP_MILLIS + (CHUNK - room) / TOKENS_PER_MILLI) * slowdown;
            Set<Job> generating = new HashSet<>(running);
            world.schedule(Duration.ofNanos(Math.round(millis * 1e6)), () -> {
                generating.forEach(this::generate);
                running.addAll(read);
                step();
            });
        }

        private void generate(Job job) {
            job.generated++;
            boolean last = job.generated >= job.request.maxOutputTokens();
            if (job.generated % TOKENS_PER_EVENT == 0 || last) {
                onEvent(job);
            }
            if (last) {
                running.remove(job);
                longestPauses.add(job.longestPause);
                world.schedule(
                        LINK_DELAY,
                        job.node,
                        new ServingEvent.SendEnded(
                                job.request.id(), job.order.attempt(), new SendEnd.Passed(), Optional.of(notice())));
            }
        }

        private void onEvent(Job job) {
            if (job.lastEvent == null) {
                Instant seen = world.now.plus(LINK_DELAY);
                firstEventMillis.add(
                        Duration.between(arrivals.get(job.request.id()), seen).toNanos() / 1e6);
                world.schedule(
                        LINK_DELAY,
                        job.node,
                        new ServingEvent.AnswerStarted(job.request.id(), job.order.attempt(), Optional.of(notice())));
            } else {
                double pause = Duration.between(job.lastEvent, world.now).toNanos() / 1e6;
                job.longestPause = Math.max(job.longestPause, pause);
            }
            job.lastEvent = world.now;
        }

        private UpstreamNotice notice() {
            ServerLoad load = new ServerLoad(running.size() + reading.size(), 0, SLOTS, slowdown);
            return UpstreamNotice.builder().load(load).build();
        }
    }
}
