package org.wagtaillug.contract;

import org.wagtaillug.id.PoolId;

/**
 * Concurrency limits and capabilities of the servers of one pool.
 *
 * @param id the pool
 * @param coldLimit the maximum number of concurrent requests on a server that has just started, at least 1; default 2
 * @param warmAfter the number of requests that a server must have completed to be considered warm; default 4
 * @param warmLimit the maximum number of concurrent requests on a warm server; default 8
 * @param checksFencing whether its servers reject orders with an outdated fencing number; default false
 * @param checksKeys whether its servers enforce idempotency keys themselves; default false
 */
public record PoolContract(
        PoolId id, int coldLimit, int warmAfter, int warmLimit, boolean checksFencing, boolean checksKeys)
        implements Body {
    private static final int DEFAULT_COLD_LIMIT = 2;
    private static final int DEFAULT_WARM_AFTER = 4;
    private static final int DEFAULT_WARM_LIMIT = 8;

    /** A pool without settings by operators: the defaults above. */
    public static PoolContract unspecified(PoolId id) {
        return new PoolContract(id, DEFAULT_COLD_LIMIT, DEFAULT_WARM_AFTER, DEFAULT_WARM_LIMIT, false, false);
    }
}
