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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadEstimate;
import org.wagtaillug.load.LoadView;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.PoolProfile;

class LoadChoiceTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");
    private static final DomainId DOMAIN = new DomainId("north");
    private static final VmId FIRST = new VmId("i-1");
    private static final VmId SECOND = new VmId("i-2");
    private static final UpstreamChooser.Prompt PROMPT =
            new UpstreamChooser.Prompt(List.of(), 3000, Optional.empty(), 0);
    private static final ContentionSwitch ON = new ContentionSwitch(Contention.ON, PolicyFeatures.ALL);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamHealth health = new UpstreamHealth();
    private final LoadView view = new LoadView();

    @BeforeEach
    void listTwo() {
        list(FIRST);
        list(SECOND);
    }

    private void list(VmId id) {
        directory.onListing(new Listing(id, 1, POOL, "10.0.0.1", 80, DOMAIN, false, Duration.ZERO, ""), NOW);
        health.onStarted(id, NOW);
        health.onEnded(id, Optional.of(POOL), Duration.ofMillis(25), true, NOW);
    }

    private VmId choose(boolean engine, String node, ContentionSwitch contention, Duration later) {
        VmId self = new VmId(node);
        UpstreamLimits limits =
                new UpstreamLimits(new Roster(self), new WarmupRateLimiter(), new UpstreamLimits.ColdBound(1.5, 5));
        LoadEstimate load = new LoadEstimate(view, contention, self);
        UpstreamChooser chooser = new UpstreamChooser(directory, health, limits, DOMAIN, PolicyFeatures.ALL, load);
        PoolProfile pool = new PoolProfile(POOL, 370, 0, Optional.empty(), engine);
        return chooser.choose(pool, Set.of(), PROMPT, NOW.plus(later))
                .orElseThrow()
                .id();
    }

    private VmId choose(boolean engine, Duration later) {
        return choose(engine, "node", ON, later);
    }

    /** Reports a load of a server with eight slots. */
    private void report(VmId upstream, int running, int waiting, double slowdown) {
        view.onReport(upstream, new ServerLoad(running, waiting, 8, slowdown), NOW);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void upstreamsThatReportSlowWorkOrWaitingRequestsAreAvoided(boolean engine) {
        VmId preferred = choose(engine, Duration.ZERO);
        VmId other = preferred.equals(FIRST) ? SECOND : FIRST;
        report(preferred, 1, 0, 2.5);
        assertThat(choose(engine, Duration.ZERO)).isEqualTo(other);
        view.onRestarted(preferred);
        assertThat(choose(engine, Duration.ZERO)).isEqualTo(preferred);
        report(preferred, 8, 20, 1);
        assertThat(choose(engine, Duration.ZERO)).isEqualTo(other);
        view.retain(Set.of(other));
        assertThat(choose(engine, Duration.ZERO)).isEqualTo(preferred);
    }

    /** Guards against work that an upstream attracts by reporting that it is faster or emptier than it is. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noReportAttractsWork(boolean engine) {
        VmId preferred = choose(engine, Duration.ZERO);
        VmId lying = preferred.equals(FIRST) ? SECOND : FIRST;
        report(lying, 0, 0, 0.01);
        assertThat(choose(engine, Duration.ZERO)).isEqualTo(preferred);
        for (int waiting = 0; waiting < 50; waiting++) {
            assertThat(new LoadEstimate(view, ON, FIRST).completion(lying, Duration.ofMillis(25), waiting, NOW))
                    .isEqualTo(Duration.ofMillis(25).multipliedBy(waiting + 1));
            assertThat(new LoadEstimate(view, ON, FIRST).tokensToRead(lying, waiting, 3000, NOW))
                    .isEqualTo(waiting);
        }
    }

    /** Guards against figures so large that a cost overflows and the upstream looks free. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theLargestReportStillRepels(boolean engine) {
        VmId preferred = choose(engine, Duration.ZERO);
        view.onReport(preferred, new ServerLoad(100_000, 100_000, 0, 100), NOW);
        assertThat(choose(engine, Duration.ZERO)).isNotEqualTo(preferred);
    }

    /** Guards against an upstream that is shunned because of a report that is long past. */
    @Test
    void aStaleReportFadesAndAnEarlierOneDoesNotReplaceALaterOne() {
        report(FIRST, 8, 8, 2.5);
        LoadEstimate estimate = new LoadEstimate(view, ON, SECOND);
        Duration usual = Duration.ofMillis(25);
        assertThat(estimate.completion(FIRST, usual, 0, NOW)).isEqualTo(Duration.ofMillis(125));
        Instant halfLife = NOW.plusMillis(300);
        assertThat(estimate.completion(FIRST, usual, 0, halfLife)).isEqualTo(Duration.ofNanos(65_625_000));
        assertThat(estimate.completion(FIRST, usual, 0, NOW.plusSeconds(6))).isLessThan(usual.plusNanos(1000));
        view.onReport(FIRST, new ServerLoad(0, 0, 8, 1), NOW.minusMillis(1));
        assertThat(view.slowdown(FIRST, NOW)).isEqualTo(2.5);
        assertThat(view.slowdown(FIRST, NOW.minusMillis(5))).isEqualTo(2.5);
    }

    /** Guards against all nodes choosing the same upstream when costs are equal. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nodesDivideUpstreamsOfEqualCost(boolean slow) {
        for (int number = 3; number <= 12; number++) {
            list(new VmId("i-" + number));
        }
        for (int number = 1; number <= 12; number++) {
            report(new VmId("i-" + number), 8, 8, slow ? 2.5 : 1);
        }
        Set<VmId> chosen = new HashSet<>();
        for (int node = 0; node < 26; node++) {
            chosen.add(choose(false, "node-" + node, ON, Duration.ZERO));
        }
        assertThat(chosen).hasSizeGreaterThan(6);
    }

    /** Guards against choices that differ from those of earlier builds while the feature is off. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void withoutTheFeatureReportsChangeNoChoice(boolean engine) {
        VmId preferred = choose(engine, "node", ContentionSwitch.off(), Duration.ZERO);
        report(preferred, 80, 800, 25);
        PolicyFeatures without = PolicyFeatures.without(List.of(PolicyFeature.LOAD_VIEW));
        ContentionSwitch announced = new ContentionSwitch(Contention.ANNOUNCED, PolicyFeatures.ALL);
        for (ContentionSwitch contention :
                List.of(ContentionSwitch.off(), new ContentionSwitch(Contention.ON, without), announced)) {
            assertThat(choose(engine, "node", contention, Duration.ZERO)).isEqualTo(preferred);
        }
        announced.onAnnounced();
        assertThat(choose(engine, "node", announced, Duration.ZERO)).isNotEqualTo(preferred);
    }
}
