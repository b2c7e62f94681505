package org.wagtaillug.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.batch.QueueDelayEstimate;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage.Heartbeat;
import org.wagtaillug.message.ServingMessage.Paths;

/**
 * Failure detector for the nodes that this node depends on, based on heartbeats.
 *
 * <p>A node watches only the candidates for the duties that it depends on: for each duty, from the first candidate in
 * the ranking to the first that is up. The number of messages per node therefore does not grow with the fleet. Failure
 * detection is based on missing heartbeats, and two nodes may come to different results. It is used only to decide who
 * performs work that may be done twice at a small cost, such as scheduling the calls of a pool.
 */
public final class Peers {
    private static final Duration SHORT_INTERVAL = Duration.ofMillis(400);
    private static final Duration LONG_INTERVAL = Duration.ofMillis(1200);

    /**
     * The holder of a duty receives heartbeats from all nodes, so in a larger fleet each node sends them less often.
     */
    private static final int SMALL_FLEET = 24;

    /** A peer is considered down after this many intervals without a heartbeat. */
    private static final int MISSED_HEARTBEATS = 3;

    /** The same for larger fleets, which have longer intervals. */
    private static final int MISSED_LONG_HEARTBEATS = 2;

    /** A peer whose connection was lost is considered down if no heartbeat arrives over a new one within this time. */
    private static final Duration RECONNECT_GRACE = Duration.ofMillis(200);

    /** A candidate is considered down if no heartbeat arrives within this time after it was first watched. */
    private static final Duration FIRST_CONTACT_TIMEOUT = Duration.ofMillis(600);

    /** A candidate that was found down and is no longer watched may be tried again after this time. */
    private static final Duration FAILURE_MEMORY = Duration.ofSeconds(10);

    /** The maximum number of untried candidates for one duty that are contacted at the same time. */
    private static final int MAX_UNTRIED = 2;

    /** The maximum number of candidates for one duty that are down and still watched, to detect their return. */
    private static final int MAX_DOWN_WATCHED = 8;

    /** The maximum number of candidates for one duty that are up, cannot hold it now and are watched. */
    private static final int MAX_UNABLE_WATCHED = 24;

    /** Connections to peers that are no longer watched are kept for this time, as a reply may be in transit. */
    private static final Duration CONNECTION_LINGER = Duration.ofSeconds(10);

    private final VmId self;
    private final List<VmId> seeds;
    private final Roster roster;
    private final Map<VmId, Peer> peers = new HashMap<>();
    private final Map<VmId, Instant> watched = new HashMap<>();
    private Map<String, Duty> duties = Map.of();
    private Set<PoolId> unreachable = Set.of();
    private boolean allHoldersFound;

    private static final class Peer {
        private Instant lastHeartbeatAt = Instant.EPOCH;
        private Instant downAt = Instant.EPOCH;
        private Instant watchedSince = Instant.EPOCH;
        private Instant heartbeatSentAt = Instant.EPOCH;
        private Instant followsUntil = Instant.EPOCH;
        private long incarnation;
        private boolean serving;
        private boolean storeLost;
        private boolean storesStreamOrigins;
        private boolean quarantines;
        private boolean supportsContention;
        private Paths paths = Paths.ALL_REACHABLE;
        private Map<FeedName, Long> positions = Map.of();
        private List<QueueDelayEstimate> waits = List.of();
    }

    /**
     * Creates an instance that watches only the seeds until duties are set.
     *
     * @param seeds nodes to contact initially if this node cannot read the roster itself
     */
    public Peers(VmId self, List<VmId> seeds, Roster roster) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.roster = roster;
    }

    /** The interval between heartbeats to a peer. */
    public Duration interval() {
        return roster.size() <= SMALL_FLEET ? SHORT_INTERVAL : LONG_INTERVAL;
    }

    private Duration failureTimeout() {
        boolean small = roster.size() <= SMALL_FLEET;
        return interval().multipliedBy(small ? MISSED_HEARTBEATS : MISSED_LONG_HEARTBEATS);
    }

    /** Sets the duties that this node depends on, by name. */
    public void setDuties(Map<String, Duty> newDuties) {
        duties = Map.copyOf(newDuties);
    }

    /**
     * A heartbeat of a peer was received.
     *
     * @return whether the peer has restarted since its last heartbeat
     */
    public boolean onHeartbeat(NodeId sender, Heartbeat heartbeat, Instant now) {
        Peer peer = peer(sender.vm());
        boolean restarted = peer.incarnation != 0 && peer.incarnation != sender.incarnation();
        peer.incarnation = sender.incarnation();
        peer.lastHeartbeatAt = now;
        peer.downAt = Instant.EPOCH;
        peer.serving = heartbeat.serving();
        peer.storeLost = heartbeat.storeLost();
        peer.storesStreamOrigins = heartbeat.storesStreamOrigins();
        peer.quarantines = heartbeat.quarantine().supported();
        peer.supportsContention = heartbeat.contention().supported();
        peer.paths = heartbeat.paths();
        peer.positions = heartbeat.positions();
        peer.waits = heartbeat.waits();
        peer.followsUntil = heartbeat.follows() ? now.plus(failureTimeout()) : Instant.EPOCH;
        return restarted;
    }

    /** Whether a run of a peer has ended, as a later run of the same VM has sent a heartbeat. */
    public boolean ended(NodeId run) {
        Peer peer = peers.get(run.vm());
        return peer != null && run.incarnation() < peer.incarnation;
    }

    /** A connection to a peer was established, over which a heartbeat is sent immediately. */
    public void onConnected(VmId id, Instant now) {
        peer(id).heartbeatSentAt = now;
    }

    /** The connection to a peer was lost or could not be established. */
    public void onDisconnected(VmId id, Instant now) {
        Peer peer = peer(id);
        Instant latest = now.minus(failureTimeout()).plus(RECONNECT_GRACE);
        if (peer.lastHeartbeatAt.isAfter(latest)) {
            peer.lastHeartbeatAt = latest;
        }
        if (!up(peer, now)) {
            peer.downAt = now;
        }
    }

    private Peer peer(VmId id) {
        return peers.computeIfAbsent(id, any -> new Peer());
    }

    private boolean up(Peer peer, Instant now) {
        return !now.isAfter(peer.lastHeartbeatAt.plus(failureTimeout()));
    }

    /** Whether a peer is up, according to its heartbeats. */
    public boolean up(VmId id, Instant now) {
        Peer peer = peers.get(id);
        return peer != null && up(peer, now);
    }

    /** Sets the pools to whose upstreams this node cannot connect. */
    public void setUnreachable(Set<PoolId> pools) {
        unreachable = Set.copyOf(pools);
    }

    private boolean holds(Duty duty, VmId id, boolean serving, Instant now) {
        if (id.equals(self)) {
            return serving && duty.pool().filter(unreachable::contains).isEmpty();
        }
        Peer peer = peers.get(id);
        return peer != null
                && peer.serving
                && up(peer, now)
                && meets(duty, peer)
                && duty.pool().filter(peer.paths.unreachable()::contains).isEmpty();
    }

    private static boolean meets(Duty duty, Peer peer) {
        for (Duty.Requirement requirement : duty.requirements()) {
            boolean met =
                    switch (requirement) {
                        case STORE -> !peer.storeLost;
                        case TUNNELS -> peer.paths.acceptsTunnels();
                        case STREAM_ORIGINS -> peer.storesStreamOrigins;
                        case QUARANTINE -> peer.quarantines;
                        case CONTENTION -> peer.supportsContention;
                    };
            if (!met) {
                return false;
            }
        }
        return true;
    }

    /** Whether a peer has reported that it cannot connect to the upstreams of a pool. */
    public boolean reportsUnreachable(VmId id, PoolId pool) {
        return id.equals(self)
                ? unreachable.contains(pool)
                : peers.containsKey(id) && peers.get(id).paths.unreachable().contains(pool);
    }

    /** Whether a peer processes the messages of the features for contended upstreams; false if none of its heartbeats arrived. */
    public boolean supportsContention(VmId id) {
        Peer peer = peers.get(id);
        return peer != null && peer.supportsContention;
    }

    /** The peers that are up. */
    public List<VmId> upPeers(Instant now) {
        List<VmId> found = new ArrayList<>();
        peers.forEach((id, peer) -> {
            if (up(peer, now)) {
                found.add(id);
            }
        });
        return found;
    }

    /** Whether the store is away for all: peers are up, and none of them can read it. */
    public boolean noneReadsStore(Instant now) {
        List<VmId> up = upPeers(now);
        return !up.isEmpty() && up.stream().allMatch(id -> peers.get(id).storeLost);
    }

    /** Whether a candidate is down: it failed recently, or sent no heartbeat within the first-contact timeout. */
    private boolean foundDown(VmId id, Instant now) {
        Peer peer = peers.get(id);
        if (peer == null || up(peer, now)) {
            return false;
        }
        boolean failed = now.isBefore(peer.downAt.plus(FAILURE_MEMORY));
        boolean silent = watched.containsKey(id) && !now.isBefore(peer.watchedSince.plus(FIRST_CONTACT_TIMEOUT));
        return failed || silent;
    }

    /**
     * The node that holds a duty: the first candidate in the ranking that is up and accepts work; this node if there is
     * none.
     *
     * @param serving whether this node accepts work
     */
    public VmId dutyHolder(String duty, boolean serving, Instant now) {
        Duty wanted = duties.getOrDefault(duty, Duty.of(List.of()));
        List<VmId> holders = holders(wanted, 1, serving, now);
        if (holders.isEmpty() && wanted.pool().isPresent()) {
            // No node reaches the pool; one of them must be the first to notice when it is back.
            holders = holders(Duty.of(wanted.ranking()), 1, serving, now);
        }
        return holders.isEmpty() ? self : holders.getFirst();
    }

    /** The node that holds a duty while all nodes are up; this node if there is no candidate. */
    public VmId firstCandidate(String duty) {
        List<VmId> ranking = duties.getOrDefault(duty, Duty.of(List.of())).ranking();
        return ranking.isEmpty() ? self : ranking.getFirst();
    }

    /** The first {@code count} candidates for a duty that are up and accept work; fewer if there are not as many. */
    public List<VmId> holders(String duty, int count, boolean serving, Instant now) {
        return holders(duties.getOrDefault(duty, Duty.of(List.of())), count, serving, now);
    }

    private List<VmId> holders(Duty duty, int count, boolean serving, Instant now) {
        List<VmId> found = new ArrayList<>();
        for (VmId id : duty.ranking()) {
            if (found.size() == count) {
                break;
            }
            if (holds(duty, id, serving, now)) {
                found.add(id);
            }
        }
        return found;
    }

    /**
     * Updates the set of watched peers.
     *
     * @param knownMembers whether the roster has been read; until then only the seeds are known
     * @param partners peers that this node must stay connected to for other reasons
     * @param serving whether this node accepts work
     * @return the peers to stay connected to
     */
    public Set<VmId> watch(boolean knownMembers, Set<VmId> partners, boolean serving, Instant now) {
        Set<VmId> wanted = new LinkedHashSet<>(partners);
        boolean allHoldersKnown = knownMembers;
        for (Duty duty : duties.values()) {
            allHoldersKnown &= addCandidates(duty, wanted, serving, now);
        }
        allHoldersFound |= allHoldersKnown;
        if (!knownMembers) {
            wanted.addAll(seeds);
        }
        wanted.remove(self);
        for (VmId id : wanted) {
            Peer peer = peer(id);
            if (watched.put(id, now) == null) {
                peer.watchedSince = now;
            }
        }
        watched.values().removeIf(last -> now.isAfter(last.plus(CONNECTION_LINGER)));
        Instant oldest = now.minus(CONNECTION_LINGER);
        peers.entrySet()
                .removeIf(entry -> !watched.containsKey(entry.getKey())
                        && entry.getValue().lastHeartbeatAt.isBefore(oldest)
                        && entry.getValue().downAt.isBefore(oldest));
        return new TreeSet<>(watched.keySet());
    }

    /** Adds the candidates for a duty that have to be watched; returns whether the holder of the duty is known. */
    private boolean addCandidates(Duty duty, Set<VmId> wanted, boolean serving, Instant now) {
        int holding = 0;
        int down = 0;
        int untried = 0;
        int unable = 0;
        for (VmId id : duty.ranking()) {
            if (holding == duty.holders() || untried == MAX_UNTRIED || unable == MAX_UNABLE_WATCHED) {
                break;
            }
            if (holds(duty, id, serving, now)) {
                holding++;
                wanted.add(id);
            } else if (id.equals(self) || up(id, now)) {
                // It is up but does not hold the duty now; its heartbeats show when that changes.
                unable++;
                wanted.add(id);
            } else if (!foundDown(id, now)) {
                untried++;
                wanted.add(id);
            } else if (down < MAX_DOWN_WATCHED) {
                down++;
                wanted.add(id);
            }
        }
        return untried == 0;
    }

    /** Whether the holders of all duties have been known at some time since the start. */
    public boolean allHoldersFound() {
        return allHoldersFound;
    }

    /** The watched peers to which a heartbeat is due now. */
    public List<VmId> heartbeatsDue(Instant now) {
        List<VmId> due = new ArrayList<>();
        for (VmId id : watched.keySet()) {
            Peer peer = peer(id);
            if (!now.isBefore(peer.heartbeatSentAt.plus(interval()))) {
                peer.heartbeatSentAt = now;
                due.add(id);
            }
        }
        return due;
    }

    /** Whether this node watches a peer, and so sends it heartbeats that are not replies. */
    public boolean watches(VmId id) {
        return watched.containsKey(id);
    }

    /** The peers to which this node relays its reads of the feeds. */
    public List<VmId> followers(Instant now) {
        List<VmId> followers = new ArrayList<>();
        peers.forEach((id, peer) -> {
            if (now.isBefore(peer.followsUntil)) {
                followers.add(id);
            }
        });
        return followers;
    }

    /**
     * The expected queueing delay of an order of a given rank at a pool whose calls a peer schedules, according to its
     * last heartbeat.
     */
    public Duration queueDelayOf(VmId id, PoolId pool, int rank) {
        Duration longest = Duration.ZERO;
        if (!peers.containsKey(id)) {
            return longest;
        }
        for (QueueDelayEstimate wait : peers.get(id).waits) {
            boolean applies = wait.pool().equals(pool) && wait.rank() <= rank;
            longest = applies && wait.expected().compareTo(longest) > 0 ? wait.expected() : longest;
        }
        return longest;
    }

    /** A peer whose position in a feed is beyond the given one; of several, the one with the latest heartbeat. */
    public Optional<VmId> ahead(FeedName feed, long position, Instant now) {
        Optional<VmId> found = Optional.empty();
        Instant latest = Instant.EPOCH;
        for (Map.Entry<VmId, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            boolean isAhead = peer.positions.getOrDefault(feed, 0L) > position;
            if (isAhead && up(peer, now) && peer.lastHeartbeatAt.isAfter(latest)) {
                found = Optional.of(entry.getKey());
                latest = peer.lastHeartbeatAt;
            }
        }
        return found;
    }
}
