package org.wagtaillug.rollout;

/**
 * What a version that may be bad gets at most before it is known to be good, from all nodes together.
 *
 * @param ratio of the requests that reach its pool during the rollout
 * @param fixed requests beyond that
 */
public record RolloutLimits(double ratio, double fixed) {
    /** Holds unless the settings say otherwise. */
    public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 50);
}
