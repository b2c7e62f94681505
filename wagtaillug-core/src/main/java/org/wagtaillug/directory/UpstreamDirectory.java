package org.wagtaillug.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.clock.WallTime;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.DepartureReport;

/** The registered upstreams, and which of them are eligible for new work. */
public final class UpstreamDirectory {
    /** The number of restarts of an upstream that are remembered. */
    private static final int MAX_RESTARTS = 8;

    /** How long a removed entry is remembered; a copy of the store is some seconds old. */
    private static final Duration REMOVAL_MEMORY = Duration.ofMinutes(1);

    private final Map<VmId, Upstream> upstreams = new HashMap<>();
    private final Map<PoolId, TreeMap<VmId, Upstream>> byPool = new HashMap<>();
    private final Map<VmId, Instant> pendingRemovals = new HashMap<>();
    private final Map<VmId, Instant> listedColdUntil = new HashMap<>();
    private final Set<DomainId> domainsOutOfService = new HashSet<>();
    private final Map<VmId, Removal> removals = new HashMap<>();
    private final ReappearedEntries reappeared = new ReappearedEntries();
    private final Map<VmId, Instant> restartSuspectedUntil = new HashMap<>();
    private final Map<VmId, Deque<Long>> restarts = new HashMap<>();
    private final Departures departures = new Departures();

    /** The last entry of a removed upstream. */
    private record Removal(Listing listing, Instant at) {}

    /** The effect of an update on the directory. */
    public enum Change {
        /** No effect on requests. */
        NONE,
        /** A new upstream was added. */
        ADDED,
        /** The upstream has restarted under the same id; earlier observations of it are obsolete. */
        RESTARTED,
        /** The upstream accepts no new work. */
        LEFT
    }

    /**
     * Whether an entry is older than what is known, as the store has executed it late or has come back from an earlier copy:
     * an earlier run of the upstream, an earlier entry of its run, a run that has announced its leaving since, or one whose
     * entry was removed.
     *
     * @param storeUnstable whether the store was unreachable, or came back from a copy, shortly before
     */
    public boolean obsolete(Listing listing, boolean storeUnstable, Instant now) {
        Optional<Listing> latest = latest(listing.id());
        if (latest.isEmpty()) {
            return false;
        }
        boolean earlierRun = listing.incarnation() != 0
                && listing.incarnation() < latest.get().incarnation();
        if (earlierRun || listing.olderThan(latest.get())) {
            return true;
        }
        boolean sameRun = listing.incarnation() == latest.get().incarnation();
        if (!storeUnstable || !sameRun) {
            return false;
        }
        boolean removed = !upstreams.containsKey(listing.id());
        return removed || (latest.get().leaving() && !listing.leaving());
    }

    /** The latest entry of an upstream that is listed, or was removed shortly before. */
    private Optional<Listing> latest(VmId id) {
        return find(id).map(Upstream::listing)
                .or(() -> Optional.ofNullable(removals.get(id)).map(Removal::listing));
    }

    /**
     * Whether an entry may have been written before the entry of its run was removed, so that it must be confirmed by a later
     * one; see {@link #pollReappeared}.
     */
    public boolean unconfirmed(Listing listing, Instant now) {
        Removal removal = removals.get(listing.id());
        boolean sameRun = removal != null
                && !upstreams.containsKey(listing.id())
                && removal.listing().incarnation() == listing.incarnation();
        boolean ordered = listing.incarnation() != 0 && listing.sequence() != 0;
        return sameRun && ordered && reappeared.unconfirmed(listing, now);
    }

    /** Removes and returns the entries that were not confirmed, but have stayed long enough to be used. */
    public List<Listing> pollReappeared(Instant now) {
        return reappeared.pollUsable(now);
    }

    /** Adds or updates the entry of an upstream. */
    public Change onListing(Listing listing, Instant now) {
        Upstream known = upstreams.get(listing.id());
        Instant coldUntil =
                listing.remainingColdTime().isZero() ? Instant.EPOCH : now.plus(listing.remainingColdTime());
        Upstream upstream = new Upstream(listing, coldUntil);
        if (known != null) {
            byPool.get(known.pool()).remove(known.id());
        }
        pendingRemovals.remove(listing.id());
        reappeared.remove(listing.id());
        restartSuspectedUntil.remove(listing.id());
        listedColdUntil.put(listing.id(), coldUntil);
        upstreams.put(listing.id(), upstream);
        byPool.computeIfAbsent(listing.pool(), pool -> new TreeMap<>()).put(listing.id(), upstream);
        if (known == null) {
            return Change.ADDED;
        }
        if (known.listing().incarnation() != listing.incarnation()) {
            recordRestart(listing);
            return Change.RESTARTED;
        }
        return listing.leaving() && !known.listing().leaving() ? Change.LEFT : Change.NONE;
    }

    /**
     * Removes the entry of an upstream, after a delay if it is likely to reappear.
     *
     * @param heldUntil until when the entry may reappear, as the store was unavailable
     */
    public Change onRemoved(VmId id, Instant heldUntil, Instant now) {
        reappeared.remove(id);
        if (!upstreams.containsKey(id)) {
            return Change.NONE;
        }
        if (heldUntil.isAfter(now)) {
            pendingRemovals.putIfAbsent(id, heldUntil);
            return Change.NONE;
        }
        remove(id, now);
        return Change.LEFT;
    }

    private void remove(VmId id, Instant now) {
        Upstream known = upstreams.remove(id);
        pendingRemovals.remove(id);
        listedColdUntil.remove(id);
        restartSuspectedUntil.remove(id);
        if (known != null) {
            removals.put(id, new Removal(known.listing(), now));
            byPool.get(known.pool()).remove(id);
        }
    }

    /** Removes the entries that have not reappeared after an outage; returns their ids. */
    public List<VmId> onTick(Instant now) {
        departures.expire(upstreams::containsKey, now);
        restarts.keySet().removeIf(id -> !upstreams.containsKey(id) && !removals.containsKey(id));
        removals.values().removeIf(removal -> now.isAfter(removal.at().plus(REMOVAL_MEMORY)));
        List<VmId> dropped = new ArrayList<>();
        for (Map.Entry<VmId, Instant> entry : Map.copyOf(pendingRemovals).entrySet()) {
            if (!now.isBefore(entry.getValue())) {
                remove(entry.getKey(), now);
                dropped.add(entry.getKey());
            }
        }
        return dropped;
    }

    /** Treats an upstream as cold after a failed connection, since it may have restarted, until its next listing. */
    public void onConnectionFailure(VmId id, Instant coldUntil) {
        Upstream known = upstreams.get(id);
        if (known != null) {
            restartSuspectedUntil.put(id, coldUntil);
        }
        if (known != null && coldUntil.isAfter(known.coldUntil())) {
            Upstream updated = new Upstream(known.listing(), coldUntil);
            upstreams.put(id, updated);
            byPool.get(known.pool()).put(id, updated);
        }
    }

    private void recordRestart(Listing listing) {
        Deque<Long> recorded = restarts.computeIfAbsent(listing.id(), id -> new ArrayDeque<>());
        recorded.addLast(listing.incarnation());
        if (recorded.size() > MAX_RESTARTS) {
            recorded.removeFirst();
        }
    }

    /** Whether an upstream has restarted, after an incarnation of it was listed and before a time. */
    public boolean restarted(VmId id, long incarnation, WallTime before) {
        for (long later : restarts.getOrDefault(id, new ArrayDeque<>())) {
            if (later > incarnation && new WallTime(later).isBefore(before)) {
                return true;
            }
        }
        Upstream known = upstreams.get(id);
        return known != null
                && known.listing().incarnation() > incarnation
                && known.listing().startedAt().isBefore(before);
    }

    /** Whether an upstream may run at another version than listed, as a connection has failed since its last listing. */
    public boolean mayHaveRestarted(VmId id, Instant now) {
        return now.isBefore(restartSuspectedUntil.getOrDefault(id, Instant.EPOCH));
    }

    /** The versions of the listed upstreams of a pool. */
    public Set<VersionKey> listedVersions(PoolId pool) {
        Set<VersionKey> versions = new HashSet<>();
        for (Upstream upstream : byPool.getOrDefault(pool, new TreeMap<>()).values()) {
            versions.add(VersionKey.of(upstream.listing().version()));
        }
        return versions;
    }

    /** The versions of the upstreams of a pool that are listed, or that this process has seen being removed recently. */
    public Set<VersionKey> recentVersions(PoolId pool) {
        Set<VersionKey> versions = listedVersions(pool);
        for (Removal removal : removals.values()) {
            if (removal.listing().pool().equals(pool)) {
                versions.add(VersionKey.of(removal.listing().version()));
            }
        }
        return versions;
    }

    /**
     * Processes the announcement of an upstream that it leaves.
     *
     * @param latestStart the latest start, in Unix milliseconds, of an incarnation that it concerns
     * @param at the time of the announcement
     */
    public Change onDeparture(VmId id, long latestStart, Instant at) {
        Upstream known = upstreams.get(id);
        boolean wasUsable = known != null && usable(known);
        departures.add(id, latestStart, at);
        return wasUsable && !usable(known) ? Change.LEFT : Change.NONE;
    }

    /** The announcements of upstreams that leave, for other nodes; the latest ones if there are many. */
    public List<DepartureReport> departures(Instant now) {
        return departures.reports(now);
    }

    /** Takes a failure domain out of service or puts it back into service. */
    public void onDomain(DomainId domain, boolean outOfService) {
        if (outOfService) {
            domainsOutOfService.add(domain);
        } else {
            domainsOutOfService.remove(domain);
        }
    }

    /** The upstreams of a pool that are eligible for new work, in the order of their ids. */
    public List<Upstream> usable(PoolId pool) {
        List<Upstream> usable = new ArrayList<>();
        for (Upstream upstream : byPool.getOrDefault(pool, new TreeMap<>()).values()) {
            if (usable(upstream)) {
                usable.add(upstream);
            }
        }
        return usable;
    }

    /** The upstreams of a pool that are eligible for new work and whose version a rule allows, in the order of their ids. */
    public List<Upstream> usable(PoolId pool, VersionRule versions) {
        List<Upstream> usable = usable(pool);
        usable.removeIf(upstream -> !versions.allows(upstream.listing().version()));
        return usable;
    }

    /** Whether an upstream is eligible for new work. */
    public boolean usable(VmId id) {
        Upstream known = upstreams.get(id);
        return known != null && usable(known);
    }

    private boolean usable(Upstream upstream) {
        return !upstream.listing().leaving()
                && !departures.contains(upstream.listing())
                && !domainsOutOfService.contains(upstream.domain());
    }

    /** Ends the assumption that the upstreams of a pool are cold after failed connections, which had another cause. */
    public void clearConnectionFailures(PoolId pool) {
        for (Upstream upstream :
                List.copyOf(byPool.getOrDefault(pool, new TreeMap<>()).values())) {
            Upstream updated =
                    new Upstream(upstream.listing(), listedColdUntil.getOrDefault(upstream.id(), Instant.EPOCH));
            upstreams.put(upstream.id(), updated);
            byPool.get(pool).put(upstream.id(), updated);
            restartSuspectedUntil.remove(upstream.id());
        }
    }

    /** The pools that have had upstreams. */
    public Set<PoolId> pools() {
        return Set.copyOf(byPool.keySet());
    }

    /** The upstream with an id; empty if it is not listed. */
    public Optional<Upstream> find(VmId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /** The number of listed upstreams. */
    public int size() {
        return upstreams.size();
    }
}
