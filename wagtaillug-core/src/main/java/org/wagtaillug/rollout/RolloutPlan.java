package org.wagtaillug.rollout;

import java.time.Duration;

/**
 * Determines the share of requests that a new version receives over the course of a rollout: first a canary share, then
 * a quick ramp to all requests, then time to drain the old version. Shares are fractions of requests, so the plan works
 * for steady load and for bursts.
 */
final class RolloutPlan {
    /** As a fraction of the time that the operator allows for the rollout, as are the following values. */
    private static final double MIN_CANARY_FRACTION = 0.42;

    private static final double MAX_CANARY_FRACTION = 0.6;
    private static final double QUARTER_DURATION = 0.06;
    private static final double HALF_DURATION = 0.06;
    private static final double COMPLETE_AT = 0.88;

    /** The number of canary answers to wait for, as long as there is time. */
    private static final int MIN_ANSWERS = 20;

    /** The canary share is this fraction of the limit, which leaves room for retries. */
    private static final double CANARY_FRACTION_OF_LIMIT = 0.7;

    private static final double QUARTER = 0.25;
    private static final double HALF = 0.5;

    /** The minimum time between moving all requests to the new version and completing the rollout. */
    private static final Duration MIN_DRAIN = Duration.ofMillis(1000);

    private RolloutPlan() {}

    /**
     * Returns the next status; the given one if nothing changes.
     *
     * @param comparison the comparison of the new version with the old one
     * @param available whether upstreams of the new version are usable
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
            boolean complete =
                    elapsed.compareTo(fractionOf(order, COMPLETE_AT)) >= 0 && drained.compareTo(MIN_DRAIN) >= 0;
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
        double canary = limits.ratio() * CANARY_FRACTION_OF_LIMIT;
        if (status.share() < canary) {
            return canary;
        }
        Duration sinceChange = elapsed.minus(status.elapsed());
        if (status.share() >= HALF) {
            return sinceChange.compareTo(fractionOf(order, HALF_DURATION)) >= 0 ? 1 : status.share();
        }
        if (status.share() >= QUARTER) {
            return sinceChange.compareTo(fractionOf(order, QUARTER_DURATION)) >= 0 ? HALF : status.share();
        }
        boolean seenEnough = comparison.candidates() >= MIN_ANSWERS
                && elapsed.compareTo(fractionOf(order, MIN_CANARY_FRACTION)) >= 0;
        boolean outOfTime = elapsed.compareTo(fractionOf(order, MAX_CANARY_FRACTION)) >= 0;
        return seenEnough || outOfTime ? QUARTER : status.share();
    }

    private static Duration fractionOf(RolloutOrder order, double fraction) {
        return Duration.ofNanos(Math.round(order.within().toNanos() * fraction));
    }
}
