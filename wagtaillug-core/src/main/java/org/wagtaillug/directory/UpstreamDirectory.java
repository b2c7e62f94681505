package org.wagtaillug.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/** All upstreams that are listed, and which of them may get new work. */
public final class UpstreamDirectory {
    /**
     * Entries lapse while their writers cannot reach the store, and are back within two seconds of its return. Dropping
     * them at once would leave pools without a server though all of them work.
     */
    private static final Duration OUTAGE_RECOVERY = Duration.ofSeconds(2);

    private final Map<VmId, Upstream> upstreams = new HashMap<>();
    private final Map<PoolId, TreeMap<VmId, Upstream>> byPool = new HashMap<>();
    private final Map<VmId, Instant> lapsed = new HashMap<>();
    private final Set<DomainId> out = new HashSet<>();

    /** What an entry changed. */
    public enum Change {
        /** Nothing that matters to requests. */
        NONE,
        /** An upstream is new. */
        ADDED,
        /** It has started anew under its name: what was known of it no longer holds. */
        RESTARTED,
        /** It takes no new work. */
        LEFT
    }

    /** An upstream says something of itself. */
    public Change onListing(Listing listing, Instant now) {
        Upstream held = upstreams.get(listing.id());
        Instant coldUntil = listing.coldFor().isZero() ? Instant.EPOCH : now.plus(listing.coldFor());
        Upstream upstream = new Upstream(listing, coldUntil);
        if (held != null) {
            byPool.get(held.pool()).remove(held.id());
        }
        lapsed.remove(listing.id());
        upstreams.put(listing.id(), upstream);
        byPool.computeIfAbsent(listing.pool(), pool -> new TreeMap<>()).put(listing.id(), upstream);
        if (held == null) {
            return Change.ADDED;
        }
        if (held.listing().incarnation() != listing.incarnation()) {
            return Change.RESTARTED;
        }
        return listing.leaving() && !held.listing().leaving() ? Change.LEFT : Change.NONE;
    }

    /**
     * An upstream's entry is gone.
     *
     * @param afterOutage whether the store was away shortly before, so that the entry may be back soon
     */
    public Change onRemoved(VmId id, boolean afterOutage, Instant now) {
        if (!upstreams.containsKey(id)) {
            return Change.NONE;
        }
        if (afterOutage) {
            lapsed.putIfAbsent(id, now.plus(OUTAGE_RECOVERY));
            return Change.NONE;
        }
        drop(id);
        return Change.LEFT;
    }

    private void drop(VmId id) {
        Upstream held = upstreams.remove(id);
        lapsed.remove(id);
        if (held != null) {
            byPool.get(held.pool()).remove(id);
        }
    }

    /** Drops what has not come back after an outage; those that were dropped. */
    public List<VmId> onTick(Instant now) {
        List<VmId> dropped = new ArrayList<>();
        for (Map.Entry<VmId, Instant> entry : Map.copyOf(lapsed).entrySet()) {
            if (!now.isBefore(entry.getValue())) {
                drop(entry.getKey());
                dropped.add(entry.getKey());
            }
        }
        return dropped;
    }

    /** A connection to an upstream failed: until it says otherwise it may have started anew, and be cold. */
    public void onFault(VmId id, Instant coldUntil) {
        Upstream held = upstreams.get(id);
        if (held != null && coldUntil.isAfter(held.coldUntil())) {
            Upstream colder = new Upstream(held.listing(), coldUntil);
            upstreams.put(id, colder);
            byPool.get(held.pool()).put(id, colder);
        }
    }

    /** Operators take a failure domain out of service or bring it back. */
    public void onDomain(DomainId domain, boolean isOut) {
        if (isOut) {
            out.add(domain);
        } else {
            out.remove(domain);
        }
    }

    /** The upstreams of a pool that may get new work, in the order of their names. */
    public List<Upstream> usable(PoolId pool) {
        List<Upstream> usable = new ArrayList<>();
        for (Upstream upstream : byPool.getOrDefault(pool, new TreeMap<>()).values()) {
            if (!upstream.listing().leaving() && !out.contains(upstream.domain())) {
                usable.add(upstream);
            }
        }
        return usable;
    }

    /** The upstreams of a pool that may get new work and have a version that a rule allows, in the order of their names. */
    public List<Upstream> usable(PoolId pool, VersionRule versions) {
        List<Upstream> usable = usable(pool);
        usable.removeIf(upstream -> !versions.allows(upstream.listing().version()));
        return usable;
    }

    /** Whether an upstream may get new work. */
    public boolean usable(VmId id) {
        Upstream held = upstreams.get(id);
        return held != null && !held.listing().leaving() && !out.contains(held.domain());
    }

    /** One upstream, if it is listed. */
    public Optional<Upstream> find(VmId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /** How many are listed. */
    public int size() {
        return upstreams.size();
    }
}
