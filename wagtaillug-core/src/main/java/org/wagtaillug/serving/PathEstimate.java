package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.batch.BatchScheduler;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/**
 * Estimates the time from the arrival of a request through all of its steps to the start of its answer.
 *
 * <p>A single pool refuses only orders that reach it. If only the pool of the last step is overloaded, the earlier
 * steps would be executed in vain, and the caller would be refused too late for a retry to succeed.
 */
final class PathEstimate {
    private final StepTimes times;

    /** Expected waiting times of orders. */
    interface WaitTimes {
        /** The expected waiting time of an order with this rank at a pool; zero if unknown. */
        Duration of(PoolId pool, int rank);
    }

    /**
     * An estimated time.
     *
     * @param waits the part that is spent in queues
     * @param total the time from now to the first event of the answer
     */
    record Path(Duration waits, Duration total) {
        private static final Path NONE = new Path(Duration.ZERO, Duration.ZERO);

        /** By how much the time exceeds a latency target and the time that an item may wait past it; zero if it does not. */
        Duration excess(Duration latencyTarget) {
            Duration excess = total.minus(latencyTarget).minus(BatchScheduler.LATE_GRACE);
            // A retry that comes after its latency target must not be refused for missing it while its pools are idle.
            return waits.isZero() || excess.isNegative() ? Duration.ZERO : excess;
        }

        private Path plus(Duration wait, Duration work) {
            return new Path(waits.plus(wait), total.plus(wait).plus(work));
        }

        private Path max(Path other) {
            return total.compareTo(other.total) >= 0 ? this : other;
        }
    }

    PathEstimate(StepTimes times) {
        this.times = times;
    }

    Path estimate(Flow flow, ServingConfiguration configuration, WaitTimes waitTimes, Instant now) {
        Map<Integer, Path> known = new HashMap<>();
        Path longest = Path.NONE;
        for (Step last : flow.finalSteps()) {
            longest = longest.max(pathTo(flow, last, configuration, waitTimes, known, now));
        }
        return longest.plus(Duration.ZERO, times.engineTime(flow, now));
    }

    private Path pathTo(
            Flow flow,
            Step step,
            ServingConfiguration configuration,
            WaitTimes waitTimes,
            Map<Integer, Path> known,
            Instant now) {
        Path computed = known.get(step.number());
        if (computed != null) {
            return computed;
        }
        Path inputs = Path.NONE;
        for (Step predecessor : flow.steps()) {
            if (step.predecessors().contains(predecessor.number())) {
                inputs = inputs.max(pathTo(flow, predecessor, configuration, waitTimes, known, now));
            }
        }
        Duration wait = waitTimes.of(step.pool(), flow.rank());
        Path path = inputs.plus(wait, times.workTime(flow, step, configuration, wait.isPositive(), now));
        known.put(step.number(), path);
        return path;
    }
}
