package org.wagtaillug.contract;

import org.wagtaillug.id.PoolId;

/**
 * What the servers of one pool bear and check.
 *
 * @param id which pool
 * @param coldLimit the most requests at once on a server that has just started, at least 1; default 2
 * @param warmAfter how many requests it must have finished before it bears more; default 4
 * @param warmLimit the most requests at once on a warm server; default 8
 * @param checksFencing whether its servers refuse an order with an old fencing number; default false
 * @param checksKeys whether its servers themselves run an idempotency key once; default false
 */
public record PoolContract(
        PoolId id, int coldLimit, int warmAfter, int warmLimit, boolean checksFencing, boolean checksKeys)
        implements Body {
    private static final int DEFAULT_COLD_LIMIT = 2;
    private static final int DEFAULT_WARM_AFTER = 4;
    private static final int DEFAULT_WARM_LIMIT = 8;

    /** A pool of which operators have said nothing: the defaults above. */
    public static PoolContract unspecified(PoolId id) {
        return new PoolContract(id, DEFAULT_COLD_LIMIT, DEFAULT_WARM_AFTER, DEFAULT_WARM_LIMIT, false, false);
    }
}
