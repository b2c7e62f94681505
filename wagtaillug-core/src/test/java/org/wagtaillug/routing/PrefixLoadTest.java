package org.wagtaillug.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

/**
 * Simulates prompts of houses with their sessions, or of rarely requested documents, sent by nodes that each see a small
 * part of the load. Engines cache the segments that they have read. An engine that has to read much more than the others
 * answers late, and pauses all streams that run on it.
 */
class PrefixLoadTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration SIMULATED_TIME = Duration.ofSeconds(34);
    private static final Duration READING_TIME = Duration.ofMillis(400);
    private static final int DOMAINS = 5;
    private static final PoolId POOL = new PoolId("model");
    private static final PoolProfile ENGINES = new PoolProfile(POOL, 760, 0, Optional.empty(), true);

    /** A kind of request: its rate, the houses and sessions it draws from, its token counts and its input size. */
    private record RequestKind(
            double perSecond,
            int houses,
            int sessions,
            int houseTokens,
            int sessionTokens,
            int uniqueTokens,
            long inputBytes,
            Duration runTime) {}

    private static final List<RequestKind> KINDS = List.of(
            new RequestKind(39.3, 4, 994, 2520, 3780, 2890, 7_500_000, Duration.ofSeconds(2)),
            new RequestKind(47, 53, 1188, 341, 227, 1800, 96_000, Duration.ofSeconds(1)),
            new RequestKind(27.1, 10, 457, 103, 69, 543, 1_800_000, Duration.ofSeconds(4)));

    /** Requests for whole documents, each with a segment of its own, mixed with sessions of houses. */
    private static final List<RequestKind> DOCUMENTS = List.of(
            new RequestKind(52, 1, 877, 0, 13_300, 3720, 7_500_000, Duration.ofSeconds(2)),
            new RequestKind(42, 6, 1050, 2520, 3780, 2890, 96_000, Duration.ofSeconds(1)),
            new RequestKind(59, 20, 900, 150, 200, 1110, 3_000_000, Duration.ofSeconds(2)));

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final List<UpstreamChooser> choosers = new ArrayList<>();
    private final List<UpstreamHealth> healths = new ArrayList<>();
    private final Map<VmId, Set<String>> cachedSegments = new HashMap<>();
    private final Map<VmId, Long> tokensRead = new HashMap<>();
    private final Set<String> readSegments = new HashSet<>();
    private long rereadTokens;
    private long requests;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
    private Random random;
    private Instant now = START;

    private record Event(Instant at, Runnable action) {}

    private static DomainId domain(int number) {
        return new DomainId("domain-" + number % DOMAINS);
    }

    private void start(int nodes, int engines) {
        for (int number = 0; number < engines; number++) {
            VmId id = new VmId("i-" + Integer.toHexString(number * 7919 + 13));
            directory.onListing(
                    new Listing(id, 1, POOL, "10.0.0.1", 80, domain(number), false, Duration.ZERO, ""), START);
        }
        for (int number = 0; number < nodes; number++) {
            UpstreamHealth health = new UpstreamHealth();
            UpstreamLimits limits = new UpstreamLimits(
                    new Roster(new VmId("node-" + number)),
                    new WarmupRateLimiter(),
                    new UpstreamLimits.ColdBound(1.5, 5));
            healths.add(health);
            choosers.add(new UpstreamChooser(directory, health, limits, domain(number), PolicyFeatures.ALL));
        }
    }

    private void simulate(List<RequestKind> kinds, double scale) {
        double perSecond = kinds.stream().mapToDouble(RequestKind::perSecond).sum() * scale;
        while (now.isBefore(START.plus(SIMULATED_TIME))) {
            now = now.plusNanos(Math.round(-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
            while (!events.isEmpty() && !events.peek().at().isAfter(now)) {
                events.poll().action().run();
            }
            double drawn = random.nextDouble() * perSecond / scale;
            int kind = 0;
            while (kind < kinds.size() - 1 && drawn >= kinds.get(kind).perSecond()) {
                drawn -= kinds.get(kind).perSecond();
                kind++;
            }
            sendRequest(kind, kinds.get(kind), scale);
        }
    }

    private List<PrefixSegment> segments(int number, RequestKind kind, double scale) {
        int houses = (int) Math.max(4, kind.houses() * scale);
        int sessions = (int) Math.max(8, kind.sessions() * scale);
        requests++;
        if (kind.houseTokens() == 0) {
            return List.of(
                    new PrefixSegment("document-" + random.nextInt(sessions), kind.sessionTokens()),
                    new PrefixSegment("own-" + requests, kind.uniqueTokens()));
        }
        String house = number + "-house-" + random.nextInt(houses);
        String session = house + "-" + random.nextInt(sessions);
        return List.of(new PrefixSegment(house, kind.houseTokens()), new PrefixSegment(session, kind.sessionTokens()));
    }

    private void sendRequest(int number, RequestKind kind, double scale) {
        List<PrefixSegment> segments = segments(number, kind, scale);
        int tokens = kind.houseTokens() + kind.sessionTokens() + kind.uniqueTokens();
        boolean large = kind.inputBytes() >= 1_000_000;
        Optional<DomainId> inputsAt = large ? Optional.of(domain(random.nextInt(DOMAINS))) : Optional.empty();
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(segments, tokens, inputsAt, kind.inputBytes());
        int node = random.nextInt(choosers.size());
        UpstreamChooser chooser = choosers.get(node);
        Upstream chosen = chooser.choose(ENGINES, Set.of(), prompt, now).orElseThrow();
        chooser.onSent(chosen.id(), prompt, now);
        healths.get(node).onStarted(chosen.id(), now);
        events.add(new Event(now.plus(READING_TIME), () -> chooser.onPromptRead(chosen.id(), tokens)));
        events.add(new Event(now.plus(kind.runTime()), () -> healths.get(node).onCancelled(chosen.id())));
        long requestTokensRead = kind.uniqueTokens();
        for (PrefixSegment segment : segments) {
            boolean unique = segment.id().startsWith("own-");
            if (unique
                    || !cachedSegments
                            .computeIfAbsent(chosen.id(), id -> new HashSet<>())
                            .add(segment.id())) {
                continue;
            }
            requestTokensRead += segment.tokens();
            rereadTokens += readSegments.add(segment.id()) ? 0 : segment.tokens();
        }
        tokensRead.merge(chosen.id(), requestTokensRead, Long::sum);
    }

    /** Guards against an engine being overloaded by many nodes that do not see each other's requests. */
    @ParameterizedTest
    @CsvSource({"95, 56, 1, 1", "95, 56, 1, 2", "77, 98, 1.4, 3", "8, 13, 0.24, 4", "8, 13, 0.24, 5"})
    void noEngineReadsTwiceTheMean(int nodes, int engines, double scale, long seed) {
        random = new Random(seed);
        start(nodes, engines);
        simulate(KINDS, scale);
        long highest =
                tokensRead.values().stream().mapToLong(Long::longValue).max().orElseThrow();
        long total = tokensRead.values().stream().mapToLong(Long::longValue).sum();
        assertThat((double) highest * engines / total).isLessThan(2);
    }

    /** Guards against placement by the segment of a single request, which makes engines read the shared document again. */
    @ParameterizedTest
    @CsvSource({"77, 98, 1, 6", "6, 13, 0.14, 7"})
    void documentsAreRoutedToEnginesThatHaveReadThem(int nodes, int engines, double scale, long seed) {
        random = new Random(seed);
        start(nodes, engines);
        simulate(DOCUMENTS, scale);
        long total = tokensRead.values().stream().mapToLong(Long::longValue).sum();
        assertThat((double) rereadTokens / total).isLessThan(0.2);
    }
}
