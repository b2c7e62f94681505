package org.wagtaillug.rollout;

import java.time.Duration;

/**
 * What one request saw at an upstream of a pool that is being rolled out.
 *
 * @param kind requests of one kind are compared with one another
 * @param candidate whether the upstream has the new version
 * @param failed whether it failed
 * @param took from the sending to the answer's beginning, or to the failure
 */
public record RolloutSample(String kind, boolean candidate, boolean failed, Duration took) {}
