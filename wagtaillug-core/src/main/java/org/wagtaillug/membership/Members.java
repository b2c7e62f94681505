package org.wagtaillug.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.configuration.RosterListener;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.log.LogRecord.StateMember;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.message.PeerMessage.Position;
import org.wagtaillug.message.PeerMessage.Probe;
import org.wagtaillug.message.PeerMessage.ProbeReply;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Membership of this node in the roster: joins and leaves, probes some of the peers and removes silent ones, and
 * decides how current its own view of the control stream is and who owns which upstream.
 *
 * <h2>Why the allowances of two owners never overlap</h2>
 *
 * <p>Let {@code c} be a roster record that moves an upstream from one node to another.
 *
 * <ol>
 *   <li>A read of the control stream that was sent after {@code c} was appended returns {@code c}. So a node that has
 *       not read {@code c} sent its last read of the tail before that. The same holds for the read of a peer that
 *       confirms the view of this node: the confirmed time is when this node sent its probe, less the age that the
 *       peer's read had when the probe arrived, so it is not later than when the peer's read was sent, and the position
 *       of the peer is not beyond that of this node.
 *   <li>A node grants only while it is {@link ViewStatus#FRESH}: until {@link Timing#LEASE} after such a read was sent.
 *       So the old owner grants nothing later than a lease after {@code c} was appended, whether it runs, is cut off or
 *       was paused: the present time is an argument of {@link #mayGrant}, and a paused node asks again when it wakes.
 *   <li>An allowance expires at most {@link Timing#MAX_GRANT_LIFETIME} after it was requested, and so after it was granted.
 *   <li>The new owner reads {@code c} after it was appended, and grants only {@link Timing#HANDOVER} after that, which
 *       is the sum of both durations and an allowance for clocks of different rates.
 * </ol>
 *
 * <p>Hence allowances of both owners are never valid at the same time. The argument does not need synchronized clocks
 * or agreement on which nodes are alive, and holds for any number of records read at once, since {@link OwnershipTracker}
 * evaluates each one. It requires that the log has a single order, that its reads are not stale, that the failure
 * domain of an upstream never changes, and that the present time passed in never goes back and advances during a pause.
 * It does not cover attempts that need no grant.
 */
public final class Members implements Ownership, RosterListener {
    /** The maximum number of peers that a node probes. */
    static final int MAX_PROBED_PEERS = 8;

    private static final Duration REMOVAL_STAGGER = Duration.ofMillis(250);
    private static final Duration REMOVAL_RETRY_INTERVAL = Duration.ofSeconds(2);
    private static final Duration ISOLATED_REMOVAL_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_DOUBLINGS = 8;
    private static final int MAX_TRACKED_REMOVALS = 256;
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    private final ControlLog log;
    private final ControlState state;
    private final NodeId self;
    private final List<Seed> seeds;
    private final Rendezvous rendezvous = new Rendezvous();
    private final OwnershipTracker ownershipTracker;
    private final StateRepair repair;
    private final RosterWriter rosterWriter;
    private final ProbedPeers probedPeers;

    private final Map<NodeId, Integer> removalCounts = new HashMap<>();

    private Optional<Instant> confirmedByPeerAt = Optional.empty();
    private Optional<Instant> lastTick = Optional.empty();
    private Optional<Instant> probedAt = Optional.empty();
    private long sequence;
    private long probedPeersOffset = -1;
    private boolean ready;
    private List<StateMember> reportedPeers = List.of();

    /**
     * A node named in the settings, to be probed until the roster is known.
     *
     * @param vm the VM that it runs on
     * @param address the address that it listens on
     */
    public record Seed(VmId vm, NodeAddress address) {}

    /**
     * Creates the membership of a node.
     *
     * @param log the control log of the node; notifies this object of roster changes from now on
     * @param seeds other nodes from the settings; may be empty, may contain this node
     */
    public Members(ControlLog log, List<Seed> seeds) {
        this.log = log;
        this.state = log.state();
        this.self = log.self();
        this.seeds = List.copyOf(seeds);
        this.ownershipTracker = new OwnershipTracker(self, state);
        this.repair = new StateRepair(log);
        this.rosterWriter = new RosterWriter(log);
        this.probedPeers = new ProbedPeers(self, rendezvous);
        log.listener(this);
    }

    /** Sets whether this node accepts new requests, as reported in its probe replies. */
    public void ready(boolean ready) {
        this.ready = ready;
    }

    @Override
    public void rosterChanged(long offset, Instant now) {
        ownershipTracker.rosterChanged(offset, now);
    }

    @Override
    public void rosterReplaced(long through, Instant now) {
        ownershipTracker.rosterReplaced(through, now);
        probedPeersOffset = -1;
    }

    /** Joins the roster, probes peers, removes silent ones and requests missing state, each when due. */
    public void onTick(Instant now, Effects effects) {
        detectPause(now);
        refreshProbedPeers(now, effects);
        rosterWriter.onTick(hearsMajority(now), now, effects);
        repair.onTick(now, effects);
        if (probedAt.isPresent() && now.isBefore(probedAt.get().plus(Timing.PROBE_PERIOD))) {
            return;
        }
        probedAt = Optional.of(now);
        for (ProbedPeer peer : probedPeers.all()) {
            sequence++;
            peer.probeSent(sequence, now);
            effects.add(new Effect.SendToPeer(peer.vm(), new Probe(sequence, position())));
        }
        repair.compare(probedPeers.all(), now, effects);
        removeSilent(now, effects);
    }

    /**
     * A node that was paused has a backlog of unprocessed replies, so all its peers seem silent. After the first few
     * replies it would hear a majority and remove the others. So it restarts the silence of every peer.
     */
    private void detectPause(Instant now) {
        boolean wasPaused = lastTick.isPresent() && now.isAfter(lastTick.get().plus(MAX_TICK_GAP));
        lastTick = Optional.of(now);
        if (!wasPaused) {
            return;
        }
        for (ProbedPeer peer : probedPeers.all()) {
            peer.resetSilence(now);
        }
    }

    private void refreshProbedPeers(Instant now, Effects effects) {
        if (probedPeersOffset == state.rosterOffset()) {
            return;
        }
        probedPeersOffset = state.rosterOffset();
        if (removalCounts.size() > MAX_TRACKED_REMOVALS) {
            removalCounts.clear();
        }
        List<StateMember> peers = peers();
        probedPeers.refresh(peers, log.address().domain(), now);
        if (peers.equals(reportedPeers)) {
            return;
        }
        reportedPeers = peers;
        effects.add(new Effect.PeersChanged(peers));
    }

    /** All other members; the seeds while the roster is empty. */
    private List<StateMember> peers() {
        List<StateMember> peers = new ArrayList<>();
        for (StateMember member : state.members()) {
            if (!member.node().vm().equals(self.vm())) {
                peers.add(member);
            }
        }
        if (!state.members().isEmpty()) {
            return peers;
        }
        for (Seed seed : seeds) {
            if (!seed.vm().equals(self.vm())) {
                peers.add(new StateMember(new NodeId(seed.vm(), 0), 0, seed.address()));
            }
        }
        return peers;
    }

    private Position position() {
        return new Position(state.through(), state.digest());
    }

    /**
     * Removes probed peers that are silent. A node that hears few of its peers is probably cut off itself, and if it
     * still reaches the log, it would remove every other node. It does so only after a long silence, by which time the
     * others would have removed it, so that a roster recovers even after most members have died at once.
     */
    private void removeSilent(Instant now, Effects effects) {
        if (!log.logReachable(now) || !state.isMember(self)) {
            return;
        }
        boolean majority = hearsMajority(now);
        for (ProbedPeer peer : probedPeers.all()) {
            Duration removalTimeout = majority ? removalTimeout(peer) : ISOLATED_REMOVAL_TIMEOUT;
            boolean silent = peer.silence(now).compareTo(removalTimeout) >= 0;
            if (!silent || peer.removalRequestedWithin(REMOVAL_RETRY_INTERVAL, now)) {
                continue;
            }
            if (peer.node().isEmpty() || !state.isMember(peer.node().get())) {
                continue;
            }
            peer.removalRequested(now);
            removalCounts.merge(peer.node().get(), 1, Integer::sum);
            rosterWriter.remove(peer.node().get(), effects);
        }
    }

    /**
     * The time after which a silent peer is removed. A peer that comes back after its removal is alive and silent only
     * towards this node: the link between the two is bad. Since it would be removed every few seconds, this node
     * doubles the time with each removal. Other nodes that probe the peer still detect its death without delay.
     */
    private Duration removalTimeout(ProbedPeer peer) {
        Duration first = Timing.PEER_TIMEOUT.plus(REMOVAL_STAGGER.multipliedBy(peer.removalRank()));
        int removed =
                peer.node().map(node -> removalCounts.getOrDefault(node, 0)).orElse(0);
        return first.multipliedBy(1L << Math.min(removed, MAX_DOUBLINGS));
    }

    /**
     * Whether this node and the peers that it hears are a majority of itself and its probed peers. Also true if it
     * probes at most one peer, since it could not tell then. With three nodes, each probes two: if one is dead, the
     * other two must still be a majority.
     */
    private boolean hearsMajority(Instant now) {
        return probedPeers.all().size() <= 1
                || 2 * heardCount(now) >= probedPeers.all().size();
    }

    private int heardCount(Instant now) {
        int heard = 0;
        for (ProbedPeer peer : probedPeers.all()) {
            if (peer.isHeard(now)) {
                heard++;
            }
        }
        return heard;
    }

    /** Handles a message of another node. Returns whether it belongs to the membership protocol. */
    public boolean onPeerMessage(NodeId sender, PeerMessage message, Instant now, Effects effects) {
        switch (message) {
            case Probe probe -> onProbe(sender, probe, now, effects);
            case ProbeReply reply -> onProbeReply(sender, reply, now);
            case PeerMessage.StateRequest ignored -> log.onStateRequest(sender.vm(), effects);
            case PeerMessage.StateReply reply -> repair.onStateReply(sender.vm(), reply, now, effects);
            case PeerMessage.GrantRequest ignored -> {
                return false;
            }
            case PeerMessage.GrantReply ignored -> {
                return false;
            }
            case ServingMessage ignored -> {
                return false;
            }
        }
        return true;
    }

    private void onProbe(NodeId sender, Probe probe, Instant now, Effects effects) {
        repair.onPeerPosition(sender.vm(), probe.position(), now);
        Optional<Duration> tailAge = log.tailReadSentAt().map(requestedAt -> Duration.between(requestedAt, now));
        effects.add(new Effect.SendToPeer(
                sender.vm(), new ProbeReply(probe.sequence(), position(), tailAge, log.logReachable(now), ready)));
    }

    private void onProbeReply(NodeId sender, ProbeReply reply, Instant now) {
        Optional<ProbedPeer> peer = probedPeers.of(sender.vm());
        if (peer.isEmpty()) {
            return;
        }
        if (!peer.get().onReply(sender, reply, now)) {
            return;
        }
        removalCounts.remove(sender);
        repair.onPeerPosition(sender.vm(), reply.position(), now);
        Optional<Instant> readAt = peer.get().tailReadAt();
        if (readAt.isEmpty() || !confirms(reply.position())) {
            return;
        }
        if (confirmedByPeerAt.isEmpty() || confirmedByPeerAt.get().isBefore(readAt.get())) {
            confirmedByPeerAt = readAt;
        }
    }

    /** Whether what a peer at a position reports of its own state also holds for the state of this node. */
    private boolean confirms(Position peer) {
        if (peer.through() > state.through()) {
            // The peer has read records that this node has not.
            return false;
        }
        return peer.through() < state.through() || peer.digest() == state.digest();
    }

    /** Applies the VM list of the platform, which determines the upstreams to own. */
    public void onVmList(List<Vm> vms, Instant now) {
        ownershipTracker.listed(vms);
    }

    /** Handles the success of an append. Returns whether the append was one of the membership. */
    public boolean onAppended(long append, long offset, Instant now, Effects effects) {
        return rosterWriter.appendEnded(append);
    }

    /** Handles the failure of an append. Returns whether the append was one of the membership. */
    public boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        return rosterWriter.appendEnded(append);
    }

    /** The other members of the roster and what this node knows of them. */
    public List<PeerView> peers(Instant now) {
        List<PeerView> peers = new ArrayList<>();
        for (StateMember member : state.members()) {
            if (!member.node().equals(self)) {
                peers.add(peer(member, now));
            }
        }
        return peers;
    }

    private PeerView peer(StateMember member, Instant now) {
        Optional<ProbedPeer> peer = probedPeers.of(member.node().vm());
        if (peer.isEmpty()) {
            return PeerView.unprobed(member.node(), member.address().domain());
        }
        Optional<ProbeReply> lastReply = peer.get().lastReply();
        return new PeerView(
                member.node(),
                member.address().domain(),
                true,
                peer.get().isHeard(now),
                Optional.of(peer.get().silence(now)),
                lastReply.map(reply -> reply.position().through()).orElse(0L),
                lastReply.map(ProbeReply::logReachable).orElse(false),
                lastReply.map(ProbeReply::ready).orElse(false));
    }

    /** This node's failure domain. */
    public DomainId domain() {
        return log.address().domain();
    }

    /** Leaves the roster permanently: grants nothing from now on, and does not join again. */
    public void leave(Instant now, Effects effects) {
        rosterWriter.leave(now, effects);
    }

    /**
     * Until when this node's view of the control stream is fresh, by its own reads or confirmed by a peer; empty if it
     * never was.
     */
    public Optional<Instant> freshUntil() {
        Optional<Instant> own = log.tailReadSentAt();
        if (own.isEmpty()
                || (confirmedByPeerAt.isPresent() && confirmedByPeerAt.get().isAfter(own.get()))) {
            return confirmedByPeerAt.map(at -> at.plus(Timing.LEASE));
        }
        return own.map(at -> at.plus(Timing.LEASE));
    }

    /** What this node may assume about its view of the control stream now. */
    public ViewStatus viewStatus(Instant now) {
        if (!log.complete()) {
            return ViewStatus.STARTING;
        }
        Optional<Instant> until = freshUntil();
        if (until.isPresent() && now.isBefore(until.get())) {
            return ViewStatus.FRESH;
        }
        return isLogOutage(now) ? ViewStatus.LOG_OUTAGE : ViewStatus.CUT_OFF;
    }

    /**
     * Whether the log is unavailable to all nodes, as far as this node can tell: it hears a majority including itself
     * (of the roster up to nine members, of the probed peers in a larger one), and none of these is ahead or fresh. A
     * peer that is fresh and at or below the position of this node would have made this node fresh too; a peer that is
     * fresh and does not confirm has a different state, so this node cannot trust its own.
     */
    private boolean isLogOutage(Instant now) {
        if (probedPeersOffset != state.rosterOffset()) {
            // The probed peers do not match the roster until the next tick.
            return false;
        }
        int heard = 0;
        for (ProbedPeer peer : probedPeers.all()) {
            if (!peer.isHeard(now) || peer.lastReply().isEmpty()) {
                continue;
            }
            heard++;
            boolean ahead = peer.lastReply().get().position().through() > state.through();
            if (ahead || isFresh(peer, now)) {
                return false;
            }
        }
        return 2 * heard >= probedPeers.all().size();
    }

    private static boolean isFresh(ProbedPeer peer, Instant now) {
        return peer.lastReply().get().logReachable()
                && peer.tailReadAt().isPresent()
                && now.isBefore(peer.tailReadAt().get().plus(Timing.LEASE));
    }

    @Override
    public Optional<NodeId> ownerOf(Vm upstream) {
        return ownershipTracker.ownerOf(upstream);
    }

    @Override
    public NodeId self() {
        return self;
    }

    @Override
    public Collection<NodeId> members() {
        List<NodeId> nodes = new ArrayList<>();
        for (StateMember member : state.members()) {
            nodes.add(member.node());
        }
        return nodes;
    }

    @Override
    public boolean mayGrant(Vm upstream, Instant now) {
        if (rosterWriter.leaving() || viewStatus(now) != ViewStatus.FRESH) {
            return false;
        }
        Optional<OwnershipTracker.OwnershipPeriod> ownershipPeriod = ownershipTracker.ownershipPeriod(upstream);
        // The previous owner may grant for a lease longer, and its allowances stay valid after that: see the class
        // comment.
        return ownershipPeriod.isPresent()
                && !now.isBefore(ownershipPeriod.get().gainedAt().plus(Timing.HANDOVER));
    }

    @Override
    public long fencingNumber(Vm upstream) {
        return ownershipTracker
                .ownershipPeriod(upstream)
                .map(OwnershipTracker.OwnershipPeriod::fencingNumber)
                .orElse(0L);
    }
}
