package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.health.StepDurations;
import org.wagtaillug.route.Step;

/**
 * Decides when the parallel branches of a request's steps start.
 *
 * <p>A result occupies room at its stage server until the request is sent to its upstream. A branch that completes
 * long before the others blocks that room for other requests, and its work is wasted if the request is abandoned
 * meanwhile. A branch therefore starts so that, by the longest of its recent runs, it completes together with the
 * other branches.
 */
final class BranchTiming {
    private final StepDurations durations;

    BranchTiming(StepDurations durations) {
        this.durations = durations;
    }

    /** Whether a step with complete inputs should be ordered now. Returns true if durations are unknown. */
    boolean startsNow(Flow flow, Step step, Instant now) {
        Optional<Duration> ownPath = criticalPath(flow, step, new HashMap<>());
        if (ownPath.isEmpty()) {
            return true;
        }
        Map<Integer, Optional<Duration>> known = new HashMap<>();
        Duration longestOther = Duration.ZERO;
        for (Step last : flow.finalSteps()) {
            if (flow.isOrPrecedes(step, last)) {
                continue;
            }
            Optional<Duration> remaining = remainingFor(flow, last, now, known);
            if (remaining.isEmpty()) {
                return true;
            }
            longestOther = longer(longestOther, remaining.get());
        }
        return ownPath.get().compareTo(longestOther) >= 0;
    }

    /** The critical path from the order of a step to the end of all steps, by the longest of its recent runs. */
    private Optional<Duration> criticalPath(Flow flow, Step step, Map<Integer, Optional<Duration>> known) {
        if (known.containsKey(step.number())) {
            return known.get(step.number());
        }
        Optional<Duration> path = durations.longest(flow.route().id(), step.number());
        Duration longest = Duration.ZERO;
        for (Step next : flow.steps()) {
            if (next.predecessors().contains(step.number())) {
                Optional<Duration> following = criticalPath(flow, next, known);
                path = following.isEmpty() ? Optional.empty() : path;
                longest = longer(longest, following.orElse(Duration.ZERO));
            }
        }
        Duration longestFollowing = longest;
        path = path.map(duration -> duration.plus(longestFollowing));
        known.put(step.number(), path);
        return path;
    }

    /** The expected time until a step is completed, by its typical duration. */
    private Optional<Duration> remainingFor(Flow flow, Step step, Instant now, Map<Integer, Optional<Duration>> known) {
        if (flow.completed(step)) {
            return Optional.of(Duration.ZERO);
        }
        if (known.containsKey(step.number())) {
            return known.get(step.number());
        }
        Optional<Duration> remaining = durations.median(flow.route().id(), step.number());
        Optional<Instant> orderedAt = flow.orderedAt(step);
        if (orderedAt.isPresent()) {
            Duration since = Duration.between(orderedAt.get(), now);
            remaining = remaining.map(usual -> longer(Duration.ZERO, usual.minus(since)));
        } else {
            Optional<Duration> inputs = remainingForInputs(flow, step, now, known);
            remaining = remaining.flatMap(usual -> inputs.map(usual::plus));
        }
        known.put(step.number(), remaining);
        return remaining;
    }

    private Optional<Duration> remainingForInputs(
            Flow flow, Step step, Instant now, Map<Integer, Optional<Duration>> known) {
        Duration longest = Duration.ZERO;
        for (Step predecessor : flow.steps()) {
            if (!step.predecessors().contains(predecessor.number())) {
                continue;
            }
            Optional<Duration> remaining = remainingFor(flow, predecessor, now, known);
            if (remaining.isEmpty()) {
                return Optional.empty();
            }
            longest = longer(longest, remaining.get());
        }
        return Optional.of(longest);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
