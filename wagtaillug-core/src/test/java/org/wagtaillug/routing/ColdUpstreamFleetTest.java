package org.wagtaillug.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.peer.Member;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

/** Two hundred nodes select upstreams independently; counts the requests that each of three cold engines receives. */
class ColdUpstreamFleetTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");
    private static final DomainId DOMAIN = new DomainId("north");
    private static final double COLD_PER_SECOND = 7.2;
    private static final double COLD_RATIO = 1.5;
    private static final double COLD_FIXED = 5;
    private static final PoolProfile ENGINES = new PoolProfile(POOL, 760, COLD_PER_SECOND, Optional.empty(), true);
    private static final int NODES = 200;
    private static final int JOINING_NODES = 18;
    private static final Duration JOIN_AT = Duration.ofSeconds(5);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final List<Roster> rosters = new ArrayList<>();
    private final List<WarmupRateLimiter> limiters = new ArrayList<>();
    private final List<UpstreamChooser> nodes = new ArrayList<>();
    private final Map<VmId, Deque<Instant>> received = new HashMap<>();
    private int peakPerSecond;
    private int sent;

    private static Member member(int number) {
        return new Member(new VmId("10.1.0." + number), DOMAIN, 1);
    }

    private void start(int number, int members, boolean listed, Instant now) {
        Roster roster = new Roster(member(number).id());
        for (int other = 0; other < members; other++) {
            roster.add(member(other), other != number || listed, now);
        }
        rosters.add(roster);
        WarmupRateLimiter limiter = new WarmupRateLimiter();
        limiters.add(limiter);
        UpstreamLimits limits =
                new UpstreamLimits(roster, limiter, new UpstreamLimits.ColdBound(COLD_RATIO, COLD_FIXED));
        nodes.add(new UpstreamChooser(directory, new UpstreamHealth(), limits, DOMAIN, PolicyFeatures.ALL));
    }

    private void sendRequest(int number, Instant now) {
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(List.of(), 100, Optional.empty(), 0);
        Optional<Upstream> chosen = nodes.get(number).choose(ENGINES, Set.of(), prompt, now);
        if (chosen.isEmpty()) {
            return;
        }
        nodes.get(number).onSent(chosen.get().id(), prompt, now);
        limiters.get(number).onSent(chosen.get().id(), now);
        Deque<Instant> arrivals = received.computeIfAbsent(chosen.get().id(), id -> new ArrayDeque<>());
        arrivals.addLast(now);
        while (arrivals.peekFirst().isBefore(now.minusSeconds(1))) {
            arrivals.removeFirst();
        }
        peakPerSecond = Math.max(peakPerSecond, arrivals.size());
        sent++;
    }

    /** Guards against overloading restarted engines with a few requests from each of many nodes, also while nodes join. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aColdEngineReceivesAtMostItsLimitFromAllNodesTogether(long seed) {
        Random random = new Random(seed);
        for (int engine = 0; engine < 3; engine++) {
            Listing listing = new Listing(
                    new VmId("i-" + seed + "-" + engine),
                    1,
                    POOL,
                    "10.0.0.1",
                    80,
                    DOMAIN,
                    false,
                    Duration.ofHours(1),
                    "");
            directory.onListing(listing, START);
        }
        for (int number = 0; number < NODES; number++) {
            start(number, NODES, true, START);
        }
        List<Duration> joinNoticeTimes = new ArrayList<>();
        for (int number = 0; number < NODES; number++) {
            joinNoticeTimes.add(JOIN_AT.plusMillis(5L * random.nextInt(600)));
        }
        Instant join = START.plus(JOIN_AT);
        for (Instant now = START; now.isBefore(START.plusSeconds(12)); now = now.plusMillis(5)) {
            if (now.equals(join)) {
                for (int number = NODES; number < NODES + JOINING_NODES; number++) {
                    start(number, NODES + JOINING_NODES, false, now);
                }
            }
            for (int number = 0; number < NODES; number++) {
                if (now.equals(START.plus(joinNoticeTimes.get(number)))) {
                    for (int joined = NODES; joined < NODES + JOINING_NODES; joined++) {
                        rosters.get(number).add(member(joined), true, now);
                    }
                }
            }
            for (int request = 0; request < 5; request++) {
                sendRequest(random.nextInt(nodes.size()), now);
            }
        }
        assertThat(peakPerSecond).isLessThanOrEqualTo((int) (COLD_PER_SECOND * COLD_RATIO + COLD_FIXED));
        assertThat(sent).isGreaterThan(12 * 3 * 5);
    }
}
