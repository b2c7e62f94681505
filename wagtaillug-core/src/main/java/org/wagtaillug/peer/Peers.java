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

/**
 * The other nodes that this one depends on, as their heartbeats show them.
 *
 * <p>A node watches only the candidates for the duties that it needs: for each duty those from the first in the ranking to
 * the first that is up. So the messages of a node do not grow with the fleet. Whether a peer is up is a guess from silence
 * and two nodes may guess differently; it decides only who does work that may be done twice at a small cost, such as
 * scheduling the calls of a pool.
 */
public final class Peers {
    private static final Duration SHORT_INTERVAL = Duration.ofMillis(400);
    private static final Duration LONG_INTERVAL = Duration.ofMillis(1200);

    /** The holder of a duty hears all nodes: in a larger fleet each of them says less. */
    private static final int SMALL_FLEET = 24;

    /** A peer counts as down after this many intervals without a heartbeat. */
    private static final int MISSED_HEARTBEATS = 3;

    /** The same in a larger fleet, with its longer intervals. */
    private static final int MISSED_LONG_HEARTBEATS = 2;

    /** A peer whose connection is lost has this long to be heard over a new one. */
    private static final Duration RECONNECT_GRACE = Duration.ofMillis(200);

    /** A candidate that is not heard within this time of being watched counts as down. */
    private static final Duration FIRST_CONTACT_TIMEOUT = Duration.ofMillis(600);

    /** A candidate that was found down and is no longer watched may be tried anew after this time. */
    private static final Duration FORGET_FAILURE_AFTER = Duration.ofSeconds(10);

    /** Candidates for one duty that are tried at the same time. */
    private static final int MAX_UNTRIED = 2;

    /** Candidates for one duty that are down and watched for their return. */
    private static final int MAX_DOWN_WATCHED = 8;

    /** Connections to peers that are not watched any more are kept for this long: a reply may be on its way. */
    private static final Duration LINGER = Duration.ofSeconds(10);

    private final VmId self;
    private final List<VmId> seeds;
    private final Roster roster;
    private final Map<VmId, Peer> peers = new HashMap<>();
    private final Map<VmId, Instant> watched = new HashMap<>();
    private Map<String, Duty> duties = Map.of();
    private boolean settled;

    private static final class Peer {
        private Instant heardAt = Instant.EPOCH;
        private Instant downAt = Instant.EPOCH;
        private Instant watchedSince = Instant.EPOCH;
        private Instant heartbeatAt = Instant.EPOCH;
        private Instant followsUntil = Instant.EPOCH;
        private long incarnation;
        private boolean serving;
        private boolean storeLost;
        private Map<FeedName, Long> positions = Map.of();
        private List<QueueDelayEstimate> waits = List.of();
    }

    /**
     * Watches nobody but the seeds until it is told which duties count.
     *
     * @param seeds nodes that are likely to be up, for a node that cannot read the roster itself
     */
    public Peers(VmId self, List<VmId> seeds, Roster roster) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.roster = roster;
    }

    /** The time between two heartbeats to a peer. */
    public Duration interval() {
        return roster.size() <= SMALL_FLEET ? SHORT_INTERVAL : LONG_INTERVAL;
    }

    private Duration failureTimeout() {
        boolean small = roster.size() <= SMALL_FLEET;
        return interval().multipliedBy(small ? MISSED_HEARTBEATS : MISSED_LONG_HEARTBEATS);
    }

    /** Sets the duties that this node depends on, by their names. */
    public void depend(Map<String, Duty> newest) {
        duties = Map.copyOf(newest);
    }

    /**
     * A peer sends a heartbeat.
     *
     * @return whether it is a new run of its VM
     */
    public boolean onHeartbeat(NodeId sender, Heartbeat heartbeat, Instant now) {
        Peer peer = peer(sender.vm());
        boolean restarted = peer.incarnation != 0 && peer.incarnation != sender.incarnation();
        peer.incarnation = sender.incarnation();
        peer.heardAt = now;
        peer.downAt = Instant.EPOCH;
        peer.serving = heartbeat.serving();
        peer.storeLost = heartbeat.storeLost();
        peer.positions = heartbeat.positions();
        peer.waits = heartbeat.waits();
        peer.followsUntil = heartbeat.follows() ? now.plus(failureTimeout()) : Instant.EPOCH;
        return restarted;
    }

    /** A connection to a peer stands, and a heartbeat is sent to it at once. */
    public void onConnected(VmId id, Instant now) {
        peer(id).heartbeatAt = now;
    }

    /** The connection to a peer has ended or cannot be made. */
    public void onDisconnected(VmId id, Instant now) {
        Peer peer = peer(id);
        Instant latest = now.minus(failureTimeout()).plus(RECONNECT_GRACE);
        if (peer.heardAt.isAfter(latest)) {
            peer.heardAt = latest;
        }
        if (!up(peer, now)) {
            peer.downAt = now;
        }
    }

    private Peer peer(VmId id) {
        return peers.computeIfAbsent(id, any -> new Peer());
    }

    private boolean up(Peer peer, Instant now) {
        return !now.isAfter(peer.heardAt.plus(failureTimeout()));
    }

    /** Whether a peer is heard. */
    public boolean up(VmId id, Instant now) {
        Peer peer = peers.get(id);
        return peer != null && up(peer, now);
    }

    private boolean holds(Duty duty, VmId id, boolean serving, Instant now) {
        if (id.equals(self)) {
            return serving;
        }
        Peer peer = peers.get(id);
        return peer != null && peer.serving && up(peer, now) && !(duty.needsStore() && peer.storeLost);
    }

    /** A candidate that was not heard although there was time for it. */
    private boolean triedInVain(VmId id, Instant now) {
        Peer peer = peers.get(id);
        if (peer == null || up(peer, now)) {
            return false;
        }
        boolean failed = now.isBefore(peer.downAt.plus(FORGET_FAILURE_AFTER));
        boolean silent = watched.containsKey(id) && !now.isBefore(peer.watchedSince.plus(FIRST_CONTACT_TIMEOUT));
        return failed || silent;
    }

    /**
     * The node that holds a duty: of the candidates that are up and take work, and this one, the first in the ranking.
     *
     * @param serving whether this node takes work
     */
    public VmId holder(String duty, boolean serving, Instant now) {
        List<VmId> holders = holders(duty, 1, serving, now);
        return holders.isEmpty() ? self : holders.getFirst();
    }

    /** The first candidates for a duty that are up and take work; fewer if there are not so many. */
    public List<VmId> holders(String duty, int count, boolean serving, Instant now) {
        List<VmId> found = new ArrayList<>();
        Duty one = duties.getOrDefault(duty, Duty.of(List.of()));
        for (VmId id : one.ranking()) {
            if (found.size() == count) {
                break;
            }
            if (holds(one, id, serving, now)) {
                found.add(id);
            }
        }
        return found;
    }

    /**
     * Renews the set of watched peers.
     *
     * @param knownMembers whether the roster was read; before that only the seeds can be asked
     * @param partners peers that this node has business with
     * @param serving whether this node takes work
     * @return the peers to keep a connection with
     */
    public Set<VmId> watch(boolean knownMembers, Set<VmId> partners, boolean serving, Instant now) {
        Set<VmId> wanted = new LinkedHashSet<>(partners);
        boolean allFound = knownMembers;
        for (Duty duty : duties.values()) {
            allFound &= addCandidates(duty, wanted, serving, now);
        }
        settled |= allFound;
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
        watched.values().removeIf(last -> now.isAfter(last.plus(LINGER)));
        Instant oldest = now.minus(LINGER);
        peers.entrySet()
                .removeIf(entry -> !watched.containsKey(entry.getKey())
                        && entry.getValue().heardAt.isBefore(oldest)
                        && entry.getValue().downAt.isBefore(oldest));
        return new TreeSet<>(watched.keySet());
    }

    /** Adds the candidates for a duty that have to be watched; whether it is known who holds it. */
    private boolean addCandidates(Duty duty, Set<VmId> wanted, boolean serving, Instant now) {
        int held = 0;
        int down = 0;
        int untried = 0;
        for (VmId id : duty.ranking()) {
            if (held == duty.holders() || untried == MAX_UNTRIED) {
                break;
            }
            if (holds(duty, id, serving, now)) {
                held++;
                wanted.add(id);
            } else if (id.equals(self) || up(id, now)) {
                // It is up and does not hold the duty now; it says so when that changes.
                wanted.add(id);
            } else if (!triedInVain(id, now)) {
                untried++;
                wanted.add(id);
            } else if (down < MAX_DOWN_WATCHED) {
                down++;
                wanted.add(id);
            }
        }
        return untried == 0;
    }

    /** Whether the holder of each duty was known at some time since the start. */
    public boolean settled() {
        return settled;
    }

    /** The watched peers whose next heartbeat is due now. */
    public List<VmId> heartbeatsDue(Instant now) {
        List<VmId> due = new ArrayList<>();
        for (VmId id : watched.keySet()) {
            Peer peer = peer(id);
            if (!now.isBefore(peer.heartbeatAt.plus(interval()))) {
                peer.heartbeatAt = now;
                due.add(id);
            }
        }
        return due;
    }

    /** Whether this node sends heartbeats to a peer of its own accord. */
    public boolean watches(VmId id) {
        return watched.containsKey(id);
    }

    /** The peers that want to be told what this node reads of the feeds. */
    public List<VmId> followers(Instant now) {
        List<VmId> followers = new ArrayList<>();
        peers.forEach((id, peer) -> {
            if (now.isBefore(peer.followsUntil)) {
                followers.add(id);
            }
        });
        return followers;
    }

    /** The expected wait of an order of a priority at a pool whose calls a peer schedules, as its last heartbeat said. */
    public Duration waitOf(VmId id, PoolId pool, int rank) {
        Duration longest = Duration.ZERO;
        if (!peers.containsKey(id)) {
            return longest;
        }
        for (QueueDelayEstimate wait : peers.get(id).waits) {
            boolean counts = wait.pool().equals(pool) && wait.rank() <= rank;
            longest = counts && wait.expected().compareTo(longest) > 0 ? wait.expected() : longest;
        }
        return longest;
    }

    /** A peer that has read further in a feed than a position; the one that was heard last. */
    public Optional<VmId> ahead(FeedName feed, long position, Instant now) {
        Optional<VmId> found = Optional.empty();
        Instant latest = Instant.EPOCH;
        for (Map.Entry<VmId, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            boolean further = peer.positions.getOrDefault(feed, 0L) > position;
            if (further && up(peer, now) && peer.heardAt.isAfter(latest)) {
                found = Optional.of(entry.getKey());
                latest = peer.heardAt;
            }
        }
        return found;
    }
}
