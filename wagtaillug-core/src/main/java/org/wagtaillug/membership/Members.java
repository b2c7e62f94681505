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
 * This node among the others: joins the roster, watches some peers, knows how far its own view may be trusted, and who
 * owns which upstream.
 *
 * <h2>Why two owners never add up</h2>
 *
 * <p>Let {@code c} be a roster record that takes an upstream from one node and gives it to another.
 *
 * <ol>
 *   <li>A read of the control stream that was sent after {@code c} took its place gives {@code c}. So a node that has not
 *       read {@code c} sent its last read of the tail before that, and the same holds for the read of a peer that vouches
 *       for it: a vouched time is the sending of this node's probe less the age that the peer's read had after the probe
 *       came, so not later than the peer's read was sent, and the peer's position is none above this node's.
 *   <li>A node grants only while it is {@link Standing#FRESH}: until {@link Timing#LEASE} after the sending of such a
 *       read. So the old owner grants nothing later than a lease after {@code c} took its place, whether it runs, is cut
 *       off or was paused: the present time is an argument of {@link #mayGrant}, and a paused node that wakes asks it anew.
 *   <li>An allowance lapses at most {@link Timing#LONGEST_GRANT} after it was asked for, so after it was granted.
 *   <li>The new owner reads {@code c} after it took its place, and grants only {@link Timing#HANDOVER} after that, which is
 *       both lengths together and an allowance for clocks of different rates.
 * </ol>
 *
 * <p>Hence at no time do allowances of both live. The argument needs no clock that agrees with another, no view of who is
 * alive, and holds for any number of records read at once, since {@link Tenures} judges each one. It needs that the log's
 * order is one, that its reads are not stale, that the failure domain of an upstream never changes, and that the present
 * time which is handed in never goes back and goes on during a pause. It says nothing of allowances that go without a
 * grant.
 */
public final class Members implements Ownership, RosterListener {
    /** The most peers that a node probes. */
    static final int WATCHED = 8;

    private static final Duration REMOVAL_STEP = Duration.ofMillis(250);
    private static final Duration REMOVE_AGAIN = Duration.ofSeconds(2);
    private static final Duration LONG_SILENCE = Duration.ofSeconds(30);
    private static final int MAX_DOUBLINGS = 8;
    private static final int REMEMBERED_REMOVALS = 256;
    private static final Duration STOOD_STILL = Duration.ofSeconds(1);

    private final ControlLog log;
    private final ControlState state;
    private final NodeId self;
    private final List<Seed> seeds;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Tenures tenures;
    private final StateRepair repair;
    private final RosterEntry entry;
    private final WatchList watches;

    private final Map<NodeId, Integer> removals = new HashMap<>();

    private Optional<Instant> vouchedAt = Optional.empty();
    private Optional<Instant> lastTick = Optional.empty();
    private Optional<Instant> probedAt = Optional.empty();
    private long sequence;
    private long watchedRoster = -1;
    private boolean ready;
    private List<StateMember> toldPeers = List.of();

    /**
     * A node that settings name, to be asked until the roster is known.
     *
     * @param vm where it runs
     * @param address where it listens
     */
    public record Seed(VmId vm, NodeAddress address) {}

    /**
     * Starts a node's membership.
     *
     * @param log the node's control log; from now on it tells this object of roster changes
     * @param seeds other nodes by settings; may be empty, may contain this node
     */
    public Members(ControlLog log, List<Seed> seeds) {
        this.log = log;
        this.state = log.state();
        this.self = log.self();
        this.seeds = List.copyOf(seeds);
        this.tenures = new Tenures(self, state);
        this.repair = new StateRepair(log);
        this.entry = new RosterEntry(log);
        this.watches = new WatchList(self, rendezvous);
        log.listener(this);
    }

    /** Sets whether this node takes new requests, as its probe replies say. */
    public void ready(boolean takesRequests) {
        this.ready = takesRequests;
    }

    @Override
    public void rosterChanged(long offset, Instant now) {
        tenures.rosterChanged(offset, now);
    }

    @Override
    public void rosterReplaced(long through, Instant now) {
        tenures.rosterReplaced(through, now);
        watchedRoster = -1;
    }

    /** Joins, probes, removes, asks, as far as each is due. */
    public void onTick(Instant now, Effects effects) {
        noticePause(now);
        refreshWatches(now, effects);
        entry.onTick(hearsMost(now), now, effects);
        repair.onTick(now, effects);
        if (probedAt.isPresent() && now.isBefore(probedAt.get().plus(Timing.PROBE_PERIOD))) {
            return;
        }
        probedAt = Optional.of(now);
        for (Watch watch : watches.all()) {
            sequence++;
            watch.probeSent(sequence, now);
            effects.add(new Effect.SendToPeer(watch.vm(), new Probe(sequence, position())));
        }
        repair.compare(watches.all(), now, effects);
        removeSilent(now, effects);
    }

    /**
     * A node that was paused has a backlog of replies that it has not looked at, so its peers seem silent; the first few
     * that it takes in would make it hear most of them and remove the rest. It counts every silence anew instead.
     */
    private void noticePause(Instant now) {
        boolean stoodStill = lastTick.isPresent() && now.isAfter(lastTick.get().plus(STOOD_STILL));
        lastTick = Optional.of(now);
        if (!stoodStill) {
            return;
        }
        for (Watch watch : watches.all()) {
            watch.forgive(now);
        }
    }

    private void refreshWatches(Instant now, Effects effects) {
        if (watchedRoster == state.rosterOffset()) {
            return;
        }
        watchedRoster = state.rosterOffset();
        if (removals.size() > REMEMBERED_REMOVALS) {
            removals.clear();
        }
        List<StateMember> peers = peers();
        watches.refresh(peers, log.address().domain(), now);
        if (peers.equals(toldPeers)) {
            return;
        }
        toldPeers = peers;
        effects.add(new Effect.PeersChanged(peers));
    }

    /** All other members; seeds while there is no roster to go by. */
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
     * Removes watched peers that are silent. A node that hears few of its peers is probably the one that is cut off: if it
     * reaches the log all the same, it would remove everybody. It does so only after a long silence, when the others
     * would have removed it, so that a roster whose most members died at once still heals.
     */
    private void removeSilent(Instant now, Effects effects) {
        if (!log.logReachable(now) || !state.isMember(self)) {
            return;
        }
        boolean trusted = hearsMost(now);
        for (Watch watch : watches.all()) {
            Duration patience = trusted ? patience(watch) : LONG_SILENCE;
            boolean silent = watch.silence(now).compareTo(patience) >= 0;
            if (!silent || watch.removalAskedWithin(REMOVE_AGAIN, now)) {
                continue;
            }
            if (watch.node().isEmpty() || !state.isMember(watch.node().get())) {
                continue;
            }
            watch.removalAsked(now);
            removals.merge(watch.node().get(), 1, Integer::sum);
            entry.remove(watch.node().get(), effects);
        }
    }

    /**
     * A peer that comes back after its removal lives, and is silent only towards this node: the link between the two is
     * bad. It would be removed every few seconds, so this node waits twice as long each time; others who watch the peer
     * notice its death as soon as ever.
     */
    private Duration patience(Watch watch) {
        Duration first = Timing.PEER_TIMEOUT.plus(REMOVAL_STEP.multipliedBy(watch.turn()));
        int before = watch.node().map(node -> removals.getOrDefault(node, 0)).orElse(0);
        return first.multipliedBy(1L << Math.min(before, MAX_DOUBLINGS));
    }

    /**
     * Whether this node and those that it hears are more than half of it and those that it watches, or it could not tell
     * because it watches one or none. Of three nodes each watches two: with one dead the others must still agree.
     */
    private boolean hearsMost(Instant now) {
        return watches.all().size() <= 1 || 2 * heardCount(now) >= watches.all().size();
    }

    private int heardCount(Instant now) {
        int heard = 0;
        for (Watch watch : watches.all()) {
            if (watch.heard(now)) {
                heard++;
            }
        }
        return heard;
    }

    /** Takes in a message of another node. Gives whether it was one of this part's. */
    public boolean onPeerMessage(NodeId sender, PeerMessage message, Instant now, Effects effects) {
        switch (message) {
            case Probe probe -> onProbe(sender, probe, now, effects);
            case ProbeReply reply -> onProbeReply(sender, reply, now);
            case PeerMessage.StateAsk ignored -> log.onStateAsk(sender.vm(), effects);
            case PeerMessage.StateReply reply -> repair.onStateReply(sender.vm(), reply, now, effects);
            case PeerMessage.GrantAsk ignored -> {
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
        repair.heard(sender.vm(), probe.position(), now);
        Optional<Duration> tailAge = log.tailReadSentAt().map(askedAt -> Duration.between(askedAt, now));
        effects.add(new Effect.SendToPeer(
                sender.vm(), new ProbeReply(probe.sequence(), position(), tailAge, log.logReachable(now), ready)));
    }

    private void onProbeReply(NodeId sender, ProbeReply reply, Instant now) {
        Optional<Watch> watch = watches.of(sender.vm());
        if (watch.isEmpty()) {
            return;
        }
        if (!watch.get().answered(sender, reply, now)) {
            return;
        }
        removals.remove(sender);
        repair.heard(sender.vm(), reply.position(), now);
        Optional<Instant> knownAt = watch.get().tailKnownAt();
        if (knownAt.isEmpty() || !covers(reply.position())) {
            return;
        }
        if (vouchedAt.isEmpty() || vouchedAt.get().isBefore(knownAt.get())) {
            vouchedAt = knownAt;
        }
    }

    /** Whether what a peer at a position says of its own state holds for this node's state as well. */
    private boolean covers(Position peer) {
        if (peer.through() > state.through()) {
            // The peer knows of records that this node does not.
            return false;
        }
        return peer.through() < state.through() || peer.digest() == state.digest();
    }

    /** Takes in the platform's list: which upstreams there are to own. */
    public void onVmList(List<Vm> vms, Instant now) {
        tenures.listed(vms);
    }

    /** Takes note of an append's place. Gives whether the append was of this part. */
    public boolean onAppended(long append, long offset, Instant now, Effects effects) {
        return entry.appendEnded(append);
    }

    /** Takes note of an append's failure. Gives whether the append was of this part. */
    public boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        return entry.appendEnded(append);
    }

    /** The other members of the roster, as this node knows them. */
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
        Optional<Watch> watch = watches.of(member.node().vm());
        if (watch.isEmpty()) {
            return PeerView.unwatched(member.node(), member.address().domain());
        }
        Optional<ProbeReply> last = watch.get().last();
        return new PeerView(
                member.node(),
                member.address().domain(),
                true,
                watch.get().heard(now),
                Optional.of(watch.get().silence(now)),
                last.map(reply -> reply.position().through()).orElse(0L),
                last.map(ProbeReply::logReachable).orElse(false),
                last.map(ProbeReply::ready).orElse(false));
    }

    /** This node's failure domain. */
    public DomainId domain() {
        return log.address().domain();
    }

    /** Leaves the roster for good: grants nothing from now on, and does not join again. */
    public void leave(Instant now, Effects effects) {
        entry.leave(now, effects);
    }

    /**
     * Until when this node's view of the control stream is vouched for, by its own reads or by a peer's; empty if it never
     * was.
     */
    public Optional<Instant> freshUntil() {
        Optional<Instant> own = log.tailReadSentAt();
        if (own.isEmpty() || (vouchedAt.isPresent() && vouchedAt.get().isAfter(own.get()))) {
            return vouchedAt.map(at -> at.plus(Timing.LEASE));
        }
        return own.map(at -> at.plus(Timing.LEASE));
    }

    /** What this node may take for granted about its view now. */
    public Standing standing(Instant now) {
        if (!log.complete()) {
            return Standing.STARTING;
        }
        Optional<Instant> until = freshUntil();
        if (until.isPresent() && now.isBefore(until.get())) {
            return Standing.FRESH;
        }
        return outage(now) ? Standing.LOG_OUTAGE : Standing.CUT_OFF;
    }

    /**
     * Whether the log is down for everybody, as far as this node can tell. It hears a majority then, itself included (of the
     * roster up to nine members, of those that it watches in a larger one), and nobody in it is ahead or fresh. A peer that
     * is fresh and at or below this node's position would have made this node fresh too; one that is fresh and does not
     * vouch has another state, so that this node cannot trust its own.
     */
    private boolean outage(Instant now) {
        if (watchedRoster != state.rosterOffset()) {
            // The peers that are watched are not those of the roster until the next tick.
            return false;
        }
        int heard = 0;
        for (Watch watch : watches.all()) {
            if (!watch.heard(now) || watch.last().isEmpty()) {
                continue;
            }
            heard++;
            boolean ahead = watch.last().get().position().through() > state.through();
            if (ahead || fresh(watch, now)) {
                return false;
            }
        }
        return 2 * heard >= watches.all().size();
    }

    private static boolean fresh(Watch watch, Instant now) {
        return watch.last().get().logReachable()
                && watch.tailKnownAt().isPresent()
                && now.isBefore(watch.tailKnownAt().get().plus(Timing.LEASE));
    }

    @Override
    public Optional<NodeId> ownerOf(Vm upstream) {
        return tenures.ownerOf(upstream);
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
        if (entry.leaving() || standing(now) != Standing.FRESH) {
            return false;
        }
        Optional<Tenures.Tenure> tenure = tenures.tenure(upstream);
        // The owner before may grant for a lease longer, and what it granted lives on: see the class comment.
        return tenure.isPresent() && !now.isBefore(tenure.get().gainedAt().plus(Timing.HANDOVER));
    }

    @Override
    public long fencingNumber(Vm upstream) {
        return tenures.tenure(upstream).map(Tenures.Tenure::fencingNumber).orElse(0L);
    }
}
