package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.health.StepDurations;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/** Estimates when the steps of a request that has just arrived will be ordered. */
final class StepArrivals {
    private final StepDurations durations;
    private final StepOrders orders;

    StepArrivals(StepDurations durations, StepOrders orders) {
        this.durations = durations;
        this.orders = orders;
    }

    /** The expected time until a step is ordered: until the last of its predecessors is completed. */
    Duration until(Flow flow, Step step, ServingConfiguration configuration, Instant now) {
        Duration longest = Duration.ZERO;
        for (Step predecessor : flow.steps()) {
            if (step.predecessors().contains(predecessor.number())) {
                Duration completed =
                        until(flow, predecessor, configuration, now).plus(took(flow, predecessor, configuration, now));
                longest = completed.compareTo(longest) > 0 ? completed : longest;
            }
        }
        return longest;
    }

    /** The recent median; or, when a queue has just grown, the wait that the pool's scheduler reports, and a call. */
    private Duration took(Flow flow, Step step, ServingConfiguration configuration, Instant now) {
        Optional<BatchContract> contract = configuration.pool(step.pool()).flatMap(PoolProfile::items);
        int items = flow.request().itemsOf(step.number());
        Duration call = contract.map(batching ->
                        orders.calls().callOf(step.pool(), batching, Math.min(items, batching.batch()), now))
                .orElse(Duration.ZERO);
        Duration expected = orders.queueDelayOf(step.pool(), flow.rank(), now).plus(call);
        Duration recent = durations.median(flow.route().id(), step.number()).orElse(Duration.ZERO);
        return recent.compareTo(expected) > 0 ? recent : expected;
    }
}
