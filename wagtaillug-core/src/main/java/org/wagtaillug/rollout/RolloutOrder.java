package org.wagtaillug.rollout;

import java.time.Duration;
import org.wagtaillug.id.PoolId;

/**
 * An operator's order to move the requests of a pool to another version of its upstreams.
 *
 * @param id its offset in the configuration feed; a later order for the same pool has a higher one
 * @param pool the pool
 * @param version the version to move to
 * @param within the time within which the rollout should be completed or reverted
 */
public record RolloutOrder(long id, PoolId pool, String version, Duration within) {}
