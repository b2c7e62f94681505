package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/** Compares the assignment of engines by one node with the choice of each node, under a wave of requests. */
class AssignmentLoadTest {
    private static final double LONG_PAUSE_MILLIS = 300;

    private record Result(double slowestFirstEvent, double longPauses, int streams) {}

    private static Result run(int nodes, int engines, long seed, PolicyFeatures features) {
        AssignmentFleet fleet = new AssignmentFleet(nodes, engines, seed, Contention.ON, features);
        fleet.load(1, Duration.ofSeconds(8));
        fleet.firstEventMillis.clear();
        fleet.longestPauses.clear();
        fleet.load(2.4, Duration.ofSeconds(10));
        long paused = fleet.longestPauses.stream()
                .filter(pause -> pause > LONG_PAUSE_MILLIS)
                .count();
        return new Result(
                AssignmentFleet.quantile(fleet.firstEventMillis, 0.99),
                (double) paused / fleet.longestPauses.size(),
                fleet.longestPauses.size());
    }

    /** Guards against engines being chosen by nodes that see neither the prompts being read there nor slow engines. */
    @ParameterizedTest
    @CsvSource({"26, 78, 1", "77, 42, 4"})
    void aWaveIsAnsweredSooner(int nodes, int engines, long seed) {
        Result off = run(nodes, engines, seed, PolicyFeatures.without(Set.of(PolicyFeature.SHARED_ASSIGNMENT)));
        Result on = run(nodes, engines, seed, PolicyFeatures.ALL);
        assertThat(on.slowestFirstEvent())
                .as("%s against %s", on, off)
                .isLessThanOrEqualTo(0.7 * off.slowestFirstEvent());
        assertThat(on.longPauses()).as("%s against %s", on, off).isLessThanOrEqualTo(0.5 * off.longPauses());
    }
}
