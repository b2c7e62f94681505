package org.wagtaillug.rollout;

/**
 * Limits on the requests that a candidate version may receive from all nodes together before it has proved to be good.
 *
 * @param ratio the fraction of the requests that reach its pool during the rollout
 * @param fixed the number of requests allowed in addition
 */
public record RolloutLimits(double ratio, double fixed) {
    /** The default limits. */
    public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 50);
}
