package org.wagtaillug.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

class UpstreamChooserTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");
    private static final DomainId NORTH = new DomainId("north");
    private static final DomainId SOUTH = new DomainId("south");
    private static final PoolProfile ENGINES = new PoolProfile(POOL, 370, 8, Optional.empty(), true);
    private static final PoolProfile PLAIN = new PoolProfile(POOL, 110, 0, Optional.empty(), false);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamHealth health = new UpstreamHealth();
    private final Roster roster = new Roster(new VmId("node"));
    private final UpstreamChooser chooser = new UpstreamChooser(
            directory,
            health,
            new UpstreamLimits(roster, new WarmupRateLimiter(), new UpstreamLimits.ColdBound(1.5, 5)),
            NORTH,
            PolicyFeatures.ALL);

    @BeforeEach
    void list() {
        for (int number = 1; number <= 8; number++) {
            DomainId domain = number <= 4 ? NORTH : SOUTH;
            directory.onListing(
                    new Listing(
                            new VmId("i-" + number), 1, POOL, "10.0.0." + number, 80, domain, false, Duration.ZERO, ""),
                    NOW);
        }
    }

    private static UpstreamChooser.Prompt prompt(String session) {
        List<PrefixSegment> segments = List.of(new PrefixSegment("house", 2500), new PrefixSegment(session, 3800));
        return new UpstreamChooser.Prompt(segments, 9000, Optional.empty(), 0);
    }

    private VmId choose(UpstreamChooser.Prompt prompt) {
        return chooser.choose(ENGINES, Set.of(), prompt, NOW).orElseThrow().id();
    }

    @Test
    void aSessionReturnsToTheEngineThatHasItsSegmentCached() {
        VmId first = choose(prompt("session-1"));
        assertThat(choose(prompt("session-1"))).isEqualTo(first);
        Set<VmId> used = new HashSet<>();
        for (int session = 0; session < 60; session++) {
            used.add(choose(prompt("session-" + session)));
        }
        assertThat(used).hasSizeGreaterThan(4);
    }

    @Test
    void aSessionMovesWhenTheQueueOfItsEngineOutweighsTheCachedSegment() {
        VmId first = choose(prompt("session-1"));
        chooser.onSent(first, prompt("session-1"), NOW);
        assertThat(choose(prompt("session-1"))).isNotEqualTo(first);
        chooser.onPromptRead(first, 9000);
        assertThat(choose(prompt("session-1"))).isEqualTo(first);
    }

    @Test
    void aPromptWithoutSegmentsGoesToTheDomainOfItsLargeInputs() {
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(List.of(), 500, Optional.of(SOUTH), 9_000_000);
        VmId chosen = choose(prompt);
        assertThat(directory.find(chosen).orElseThrow().domain()).isEqualTo(SOUTH);
    }

    @Test
    void plainRequestsGoToTheServerWithTheEarliestExpectedCompletion() {
        for (int number = 2; number <= 8; number++) {
            health.onStarted(new VmId("i-" + number), NOW);
        }
        assertThat(chooser.choose(PLAIN, Set.of(), prompt("none"), NOW)
                        .orElseThrow()
                        .id())
                .isEqualTo(new VmId("i-1"));
    }

    @Test
    void suspendedServersAreUsedWhenThereIsNoOther() {
        // Every server of a pool has failed twice for a transient reason. Excluding suspended servers would make the
        // pool unavailable although all of its servers are up.
        for (int number = 1; number <= 8; number++) {
            VmId id = new VmId("i-" + number);
            for (int failure = 0; failure < 2; failure++) {
                health.onStarted(id, NOW);
                health.onEnded(id, Optional.empty(), Duration.ofMillis(1), false, NOW);
            }
        }
        assertThat(chooser.choose(PLAIN, Set.of(), prompt("none"), NOW)).isPresent();
    }

    @Test
    void noServerGetsMoreConnectionsThanThisNodesShare() {
        for (int number = 1; number <= 8; number++) {
            for (int count = 0; count < 110 / roster.sharingNodes(); count++) {
                health.onStarted(new VmId("i-" + number), NOW);
            }
        }
        assertThat(chooser.choose(PLAIN, Set.of(), prompt("none"), NOW)).isEmpty();
    }
}
