package org.wagtaillug.peer;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * A task that one or a few nodes perform for the other nodes, such as scheduling the calls of a pool.
 *
 * @param ranking the candidates, in order of preference
 * @param holders the number of nodes that hold the duty at the same time
 * @param needsStore whether only nodes that can read the store may hold the duty
 * @param pool the pool to whose upstreams only nodes may hold the duty that reach them; empty if it needs none
 * @param needsTunnels whether only nodes that accept tunnels may hold the duty
 */
public record Duty(List<VmId> ranking, int holders, boolean needsStore, Optional<PoolId> pool, boolean needsTunnels) {
    /** Makes a defensive copy of the list. */
    public Duty {
        ranking = List.copyOf(ranking);
    }

    /** Creates a duty with one holder that needs neither the store nor upstreams. */
    public static Duty of(List<VmId> ranking) {
        return new Duty(ranking, 1, false, Optional.empty(), false);
    }

    /** Creates a duty of nodes that can read the store. */
    public static Duty ofStoreReaders(List<VmId> ranking, int holders) {
        return new Duty(ranking, holders, true, Optional.empty(), false);
    }

    /** Creates a duty with one holder that reaches the upstreams of a pool. */
    public static Duty atPool(List<VmId> ranking, PoolId pool) {
        return new Duty(ranking, 1, false, Optional.of(pool), false);
    }

    /** Creates the duty to forward connections to the upstreams of a pool. */
    public static Duty ofTunnels(List<VmId> ranking, int holders, PoolId pool) {
        return new Duty(ranking, holders, false, Optional.of(pool), true);
    }
}
