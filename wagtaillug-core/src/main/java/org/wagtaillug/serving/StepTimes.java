package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.batch.BatchOrder.Urgency;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/**
 * Computes by when a step has to be completed so that the following steps and the upstream can still meet the latency
 * target and the deadline.
 */
final class StepTimes {
    /**
     * Assumed reading speed of engines without measurements: rather too slow than too fast, so that no request
     * becomes late by it.
     */
    private static final int TOKENS_PER_MILLI = 20;

    /** Assumed time for connection, admission and the first token of engines without measurements. */
    private static final Duration ENGINE_START = Duration.ofMillis(60);

    private final EngineTimes engines;
    private final PolicyFeatures features;
    private final ObservedCalls calls;

    StepTimes(EngineTimes engines, PolicyFeatures features, ObservedCalls calls) {
        this.calls = calls;
        this.engines = engines;
        this.features = features;
    }

    Urgency urgency(Flow flow, Step step, ServingConfiguration configuration, Instant now) {
        Duration remaining = timeAfter(flow, step, configuration, now).plus(engineTime(flow, now));
        Instant targetTime = flow.arrivedAt().plus(flow.route().latencyTarget()).minus(remaining);
        return new Urgency(flow.rank(), targetTime, flow.firstEventDeadline().minus(remaining));
    }

    /** The expected time of an engine to the first event of the answer. */
    Duration engineTime(Flow flow, Instant now) {
        int tokens = flow.request().promptTokens();
        Duration assumed = ENGINE_START.plusMillis(tokens / TOKENS_PER_MILLI);
        if (!features.uses(PolicyFeature.OBSERVED_ENGINES)) {
            return assumed;
        }
        return engines.expected(flow.pool(), tokens, now).orElse(assumed);
    }

    /**
     * The expected duration of the calls of a step, as part of the time of a request.
     *
     * @param waits whether the pool has a queue; if so, its calls are full, and otherwise they hold few items
     */
    Duration workTime(Flow flow, Step step, ServingConfiguration configuration, boolean waits, Instant now) {
        int items = flow.request().itemsOf(step.number());
        return configuration
                .pool(step.pool())
                .flatMap(PoolProfile::items)
                .map(contract -> calls.callOf(
                        step.pool(),
                        contract,
                        waits && calls.used() ? contract.batch() : Math.min(items, contract.batch()),
                        now))
                .orElse(Duration.ZERO);
    }

    /** The critical path through the steps after a given one. */
    private Duration timeAfter(Flow flow, Step step, ServingConfiguration configuration, Instant now) {
        Duration longest = Duration.ZERO;
        for (Step next : flow.steps()) {
            if (next.predecessors().contains(step.number())) {
                Duration path =
                        duration(flow, next, configuration, now).plus(timeAfter(flow, next, configuration, now));
                longest = path.compareTo(longest) > 0 ? path : longest;
            }
        }
        return longest;
    }

    private Duration duration(Flow flow, Step step, ServingConfiguration configuration, Instant now) {
        int items = flow.request().itemsOf(step.number());
        return configuration
                .pool(step.pool())
                .flatMap(pool -> pool.items())
                .map(contract -> fullCall(step, contract, items, now))
                .orElse(Duration.ZERO);
    }

    /** Assumes full calls, as calls are full under the load at which urgency matters. */
    private Duration fullCall(Step step, BatchContract contract, int items, Instant now) {
        return calls.callOf(step.pool(), contract, Math.max(contract.batch(), items), now);
    }
}
