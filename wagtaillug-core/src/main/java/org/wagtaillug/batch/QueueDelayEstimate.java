package org.wagtaillug.batch;

import java.time.Duration;
import org.wagtaillug.id.PoolId;

/**
 * The expected queue delay of an order of a rank in a pool.
 *
 * @param pool the pool
 * @param rank the priority class; 0 is served first
 * @param expected the time until its last item is sent in a call
 */
public record QueueDelayEstimate(PoolId pool, int rank, Duration expected) {}
