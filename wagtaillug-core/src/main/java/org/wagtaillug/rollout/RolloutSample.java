package org.wagtaillug.rollout;

import java.time.Duration;

/**
 * The result of one request to an upstream of a pool with a rollout in progress.
 *
 * @param kind the kind of request; only requests of the same kind are compared
 * @param candidate whether the upstream runs the candidate version
 * @param failed whether the request failed
 * @param took the time from sending the request to the start of the response, or to the failure
 */
public record RolloutSample(String kind, boolean candidate, boolean failed, Duration took) {}
