package org.wagtaillug.rollout;

import java.time.Duration;

/**
 * The share that a new version gets in the course of a rollout: a canary share, then quickly everything, then
 * time for what the old version still works on. Answers a steady load as well as bursts: a share is one of requests.
 */
final class RolloutPlan {
    /** Of the time that the operator gives. */
    private static final double SHORTEST_CANARY = 0.42;

    private static final double LONGEST_CANARY = 0.6;
    private static final double QUARTER_DURATION = 0.06;
    private static final double HALF_DURATION = 0.06;
    private static final double COMPLETE_AT = 0.88;

    /** Answers of the canary share that are waited for while there is time. */
    private static final int MIN_ANSWERS = 20;

    /** The canary share leaves room below the limit for requests that are tried again. */
    private static final double CANARY_PART_OF_LIMIT = 0.7;

    private static final double QUARTER = 0.25;
    private static final double HALF = 0.5;

    /** The time between everything going to the new version and the end of the old one, at least. */
    private static final Duration MIN_DRAIN = Duration.ofMillis(1000);

    private RolloutPlan() {}

    /**
     * The next status; the same if nothing changes.
     *
     * @param comparison what the new version has shown
     * @param available whether upstreams of the new version can be used
     * @param elapsed the time since the order
     */
    static RolloutStatus next(
            RolloutOrder order,
            RolloutStatus status,
            VersionComparison comparison,
            RolloutLimits limits,
            boolean available,
            Duration elapsed) {
        if (status.state().isFinal()) {
            return status;
        }
        if (comparison.worse()) {
            return status.ended(RolloutStatus.State.REVERTED, elapsed);
        }
        if (!available) {
            return status.share() == 0 ? status : status.withShare(0, elapsed);
        }
        if (status.share() >= 1) {
            Duration drained = elapsed.minus(status.elapsed());
            boolean complete = elapsed.compareTo(part(order, COMPLETE_AT)) >= 0 && drained.compareTo(MIN_DRAIN) >= 0;
            return complete ? status.ended(RolloutStatus.State.COMPLETED, elapsed) : status;
        }
        double share = share(order, status, comparison, limits, elapsed);
        return share == status.share() ? status : status.withShare(share, elapsed);
    }

    private static double share(
            RolloutOrder order,
            RolloutStatus status,
            VersionComparison comparison,
            RolloutLimits limits,
            Duration elapsed) {
        double canary = limits.ratio() * CANARY_PART_OF_LIMIT;
        if (status.share() < canary) {
            return canary;
        }
        Duration sinceChange = elapsed.minus(status.elapsed());
        if (status.share() >= HALF) {
            return sinceChange.compareTo(part(order, HALF_DURATION)) >= 0 ? 1 : status.share();
        }
        if (status.share() >= QUARTER) {
            return sinceChange.compareTo(part(order, QUARTER_DURATION)) >= 0 ? HALF : status.share();
        }
        boolean seenEnough =
                comparison.candidates() >= MIN_ANSWERS && elapsed.compareTo(part(order, SHORTEST_CANARY)) >= 0;
        boolean outOfTime = elapsed.compareTo(part(order, LONGEST_CANARY)) >= 0;
        return seenEnough || outOfTime ? QUARTER : status.share();
    }

    private static Duration part(RolloutOrder order, double part) {
        return Duration.ofNanos(Math.round(order.within().toNanos() * part));
    }
}
