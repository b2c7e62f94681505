package org.wagtaillug.reachability;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * Which pools this node can open connections to.
 *
 * <p>Judged by the connections that requests open and by probes, which are started only after a failure:
 *
 * <pre>{@code
 * if (reachability.onFailed(upstream, now)) {
 *     // this node has lost its path to the pool of the upstream
 * }
 * reachability.probesDue(now).forEach(this::probe);
 * }</pre>
 */
public final class Reachability {
    private final UpstreamDirectory directory;
    private final Map<PoolId, PoolReachability> pools = new HashMap<>();
    private final Set<VmId> requestedProbes = new TreeSet<>();
    private long changes;

    /** Creates an instance to which every pool is reachable. */
    public Reachability(UpstreamDirectory directory) {
        this.directory = directory;
    }

    /** Records that a connection was opened at a time; returns whether the pool of the upstream was unreachable before. */
    public boolean onConnected(Upstream upstream, Instant at) {
        PoolReachability pool = pool(upstream.pool());
        boolean wasSuspect = pool.suspect();
        boolean regained = pool.onConnected(upstream.id(), at);
        changes += wasSuspect && !pool.suspect() ? 1 : 0;
        return regained;
    }

    /** Records that a connection could not be opened; returns whether the pool has become unreachable. */
    public boolean onFailed(Upstream upstream, Instant now) {
        PoolReachability pool = pool(upstream.pool());
        boolean wasSuspect = pool.suspect();
        boolean lost = pool.onFailed(upstream.id(), usable(upstream.pool()), now);
        changes += lost || wasSuspect != pool.suspect() ? 1 : 0;
        if (lost) {
            doubtOthers(upstream.pool(), now);
        }
        return lost;
    }

    /** A lost pool is often the first sign that no upstream at all is reachable. */
    private void doubtOthers(PoolId lost, Instant now) {
        for (PoolId other : directory.pools()) {
            if (!other.equals(lost)) {
                requestedProbes.addAll(pool(other).probesOnDoubt(usable(other), now));
            }
        }
    }

    /** Records that an open connection has failed or stalled, which a probe of its upstream can explain. */
    public void onBroken(Upstream upstream, Instant now) {
        requestedProbes.addAll(pool(upstream.pool()).probeOf(upstream.id(), now));
    }

    /** The upstreams to probe now. */
    public List<VmId> probesDue(Instant now) {
        List<VmId> due = new ArrayList<>(requestedProbes);
        requestedProbes.clear();
        for (PoolId id : List.copyOf(pools.keySet())) {
            List<VmId> usable = usable(id);
            PoolReachability pool = pool(id);
            changes += pool.retain(usable) ? 1 : 0;
            due.addAll(pool.probesDue(usable, now));
        }
        return due;
    }

    /** Whether this node has lost its path to a pool. */
    public boolean unreachable(PoolId pool) {
        PoolReachability known = pools.get(pool);
        return known != null && known.unreachable();
    }

    /** Whether connecting to upstreams of a pool has failed and no success has followed. */
    public boolean suspect(PoolId pool) {
        PoolReachability known = pools.get(pool);
        return known != null && known.suspect();
    }

    /** The number of times that the unreachable or the suspect pools have changed. */
    public long changes() {
        return changes;
    }

    /** The pools for which {@link #unreachable} holds. */
    public Set<PoolId> unreachablePools() {
        Set<PoolId> unreachable = new TreeSet<>();
        pools.forEach((id, pool) -> {
            if (pool.unreachable()) {
                unreachable.add(id);
            }
        });
        return unreachable;
    }

    /** The pools that are unreachable, or whose failures probes have not explained in time. */
    public Set<PoolId> doubtfulPools(Instant now) {
        Set<PoolId> doubtful = new TreeSet<>();
        pools.forEach((id, pool) -> {
            if (pool.doubtful(now)) {
                doubtful.add(id);
            }
        });
        return doubtful;
    }

    private PoolReachability pool(PoolId id) {
        return pools.computeIfAbsent(id, any -> new PoolReachability());
    }

    private List<VmId> usable(PoolId pool) {
        return directory.usable(pool).stream().map(Upstream::id).toList();
    }
}
