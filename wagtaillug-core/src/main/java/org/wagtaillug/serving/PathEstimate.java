package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
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
            longest = longest.max(pathTo(flow, last, configuration, waitTimes, known));
        }
        return longest.plus(Duration.ZERO, times.engineTime(flow, now));
    }

    private Path pathTo(
            Flow flow, Step step, ServingConfiguration configuration, WaitTimes waitTimes, Map<Integer, Path> known) {
        Path computed = known.get(step.number());
        if (computed != null) {
            return computed;
        }
        Path inputs = Path.NONE;
        for (Step predecessor : flow.steps()) {
            if (step.predecessors().contains(predecessor.number())) {
                inputs = inputs.max(pathTo(flow, predecessor, configuration, waitTimes, known));
            }
        }
        Path path = inputs.plus(waitTimes.of(step.pool(), flow.rank()), workTime(flow, step, configuration));
        known.put(step.number(), path);
        return path;
    }

    private static Duration workTime(Flow flow, Step step, ServingConfiguration configuration) {
        Optional<BatchContract> contract = configuration.pool(step.pool()).flatMap(PoolProfile::items);
        int items = flow.request().itemsOf(step.number());
        return contract.map(batching -> batching.callOf(Math.min(items, batching.batch())))
                .orElse(Duration.ZERO);
    }
}
