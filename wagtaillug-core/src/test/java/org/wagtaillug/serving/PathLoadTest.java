package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.serving.PathLoadWorld.Kind;

/**
 * A burst of 2.5 on summaries. Bounds are those of the acceptance criteria in docs/design/contended-upstreams.md. The pools bear
 * the burst at the usual load and at 1.3 times the usual load; at 1.5 times they don't.
 */
class PathLoadTest {
    private static final int NODES = 4;
    private static final double BURST = 2.5;

    private static final PolicyFeatures WITHOUT =
            PolicyFeatures.without(List.of(PolicyFeature.PATH_RESERVATIONS, PolicyFeature.OBSERVED_CALLS));

    private static final Map<Load, PathLoadWorld> RESULTS = new HashMap<>();

    private record Load(long seed, double load, PolicyFeatures features) {}

    private static PathLoadWorld run(long seed, double load, PolicyFeatures features) {
        return RESULTS.computeIfAbsent(new Load(seed, load, features), key -> {
            PathLoadWorld world = new PathLoadWorld(seed, NODES, features).run(load, Kind.SUMMARY, BURST);
            String part = features.equals(WITHOUT) ? "without" : "with";
            System.out.println("seed " + seed + ", load " + load + ", " + part + " the part: " + world.text());
            return world;
        });
    }

    /** Guards against requests that are run by the first pools and refused, or late, at a later one. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 1.5", "4, 1.5"})
    void aBurstDoesNotWasteWork(long seed, double load) {
        PathLoadWorld with = run(seed, load, PolicyFeatures.ALL);
        assertThat(with.unused()).isLessThan(0.03);
        double mostUrgent = with.tallies.get(Kind.DIAGNOSIS).served();
        with.tallies.forEach((kind, tally) -> assertThat(mostUrgent).isGreaterThanOrEqualTo(tally.served()));
        assertThat(with.inTime())
                .isGreaterThanOrEqualTo(run(seed, load, WITHOUT).inTime());
    }

    /** Guards against requests that are refused although the pools would serve them in time. */
    @Test
    void aBurstThatThePoolsJustBearIsServed() {
        assertThat(run(2, 1.3, PolicyFeatures.ALL).inTime())
                .isGreaterThanOrEqualTo(run(2, 1.3, WITHOUT).inTime());
    }

    /** Guards against requests that wait for seconds before they are refused. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 1.5", "4, 1.5"})
    void noRequestIsHeldBeforeItsRefusal(long seed, double load) {
        run(seed, load, PolicyFeatures.ALL).tallies.forEach((kind, tally) -> assertThat(tally.longestHold)
                .as("longest hold of " + kind + ", in latency targets")
                .isLessThanOrEqualTo(1.0 / 8));
    }
}
