package org.wagtaillug.serving;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedPosition;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.peer.Duty;
import org.wagtaillug.peer.Member;
import org.wagtaillug.peer.MemberRecord;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.peer.Registration;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.ServingConfiguration;

/** Keeps this node registered as a member and connected to the peers whose duties it depends on. */
final class PeerMembership {
    /** Number of nodes in each failure domain that read the store on behalf of the others. */
    private static final int FEED_READERS = 2;

    private static final String FEED_DUTY = "feeds";
    private static final String ROLLOUT_DUTY = "rollouts";
    private static final String EXCHANGE_DUTY = "exchange";

    /** The duty to store the origins of streams. */
    static final String STREAM_REPLICA_DUTY = "streams";

    /** The duty to write the origins of streams to the store, with the same ranking. */
    static final String STREAM_WRITER_DUTY = "streams/store";

    /** The duty to decide which prompts are quarantined. */
    static final String QUARANTINE_DUTY = "quarantine";

    /** The duty to write to the store which prompts are quarantined, with the same ranking. */
    static final String QUARANTINE_WRITER_DUTY = "quarantine/store";

    /** Each node has a ranking of its own, so that nodes without a path divide their requests among many peers. */
    private static final String TUNNEL_DUTY = "tunnels of ";

    private final NodeId self;
    private final Member member;
    private final Roster roster;
    private final Peers peers;
    private final ContentionSwitch contention;
    private final Registration registration;
    private final Consumer<ServingEffect> effects;
    private final BooleanSupplier acceptsWork;
    private List<PoolId> scheduledPools = List.of();
    private boolean streamsResumable;
    private boolean enginesInUse;
    private List<PoolId> enginePools = List.of();
    private boolean enginesAssigned;
    private Set<VmId> connected = Set.of();
    private boolean rosterChanged;
    private boolean rolloutInProgress;
    private Set<PoolId> doubtfulPools = Set.of();
    private ServingMessage.Paths reportedPaths = ServingMessage.Paths.ALL_REACHABLE;

    PeerMembership(
            ServingSetup setup,
            Roster roster,
            Peers peers,
            ContentionSwitch contention,
            Consumer<ServingEffect> effects,
            BooleanSupplier acceptsWork) {
        this.self = setup.self();
        this.member = new Member(setup.self().vm(), setup.domain(), setup.capacity());
        this.roster = roster;
        this.peers = peers;
        this.contention = contention;
        this.registration = new Registration(member);
        this.effects = effects;
        this.acceptsWork = acceptsWork;
    }

    /** The name of the duty to schedule the calls of a pool. */
    static String scheduling(PoolId pool) {
        return "pool/" + pool;
    }

    /** The name of the duty to assign the engines of a pool. */
    static String assignment(PoolId pool) {
        return "engines/" + pool;
    }

    void configure(ServingConfiguration latest) {
        enginePools = latest.enginePools();
        scheduledPools = latest.scheduledPools();
        streamsResumable = latest.streamsResumable();
        enginesInUse = latest.enginesInUse();
        updateDuties();
    }

    /** Sets whether a rollout is in progress, which requires a coordinator. */
    void setRolloutInProgress(boolean inProgress) {
        if (inProgress != rolloutInProgress) {
            rolloutInProgress = inProgress;
            updateDuties();
        }
    }

    /** Returns the node that coordinates rollouts. */
    VmId rolloutCoordinator(Instant now) {
        return peers.dutyHolder(ROLLOUT_DUTY, acceptsWork.getAsBoolean(), now);
    }

    private void updateDuties() {
        rosterChanged = false;
        Map<String, Duty> duties = new HashMap<>();
        for (PoolId pool : scheduledPools) {
            duties.put(scheduling(pool), Duty.atPool(roster.ranking(scheduling(pool)), pool));
        }
        if (scheduledPools.isEmpty()) {
            // Nodes exchange what they know of upstreams through a node that all of them watch.
            duties.put(EXCHANGE_DUTY, Duty.of(roster.ranking(EXCHANGE_DUTY)));
        }
        duties.put(FEED_DUTY, Duty.ofStoreReaders(roster.ranking(FEED_DUTY, member.domain()), FEED_READERS));
        if (streamsResumable) {
            List<VmId> ranking = roster.ranking(STREAM_REPLICA_DUTY);
            duties.put(STREAM_REPLICA_DUTY, Duty.ofStreamReplicas(ranking, StreamExchange.REPLICAS));
            duties.put(STREAM_WRITER_DUTY, Duty.ofStreamWriter(ranking));
        }
        if (enginesInUse) {
            // The nodes that store the origins of streams are watched by all nodes already.
            List<VmId> ranking = roster.ranking(STREAM_REPLICA_DUTY);
            duties.put(QUARANTINE_DUTY, Duty.ofQuarantine(ranking, QuarantineExchange.DECIDERS));
            duties.put(QUARANTINE_WRITER_DUTY, Duty.ofQuarantineWriter(ranking));
        }
        enginesAssigned = contention.uses(PolicyFeature.SHARED_ASSIGNMENT);
        if (enginesAssigned) {
            List<VmId> ranking = AssignmentRanking.of(roster.ranking(STREAM_REPLICA_DUTY));
            enginePools.forEach(pool -> duties.put(assignment(pool), Duty.ofAssignment(ranking, pool)));
        }
        if (rolloutInProgress) {
            duties.put(ROLLOUT_DUTY, Duty.ofStoreReaders(roster.ranking(ROLLOUT_DUTY), 1));
        }
        for (PoolId pool : doubtfulPools) {
            List<VmId> others = new ArrayList<>(roster.ranking(TUNNEL_DUTY + self.vm()));
            others.remove(self.vm());
            duties.put(UpstreamPaths.tunnels(pool), Duty.ofTunnels(others, UpstreamPaths.TUNNEL_PEERS, pool));
        }
        peers.setDuties(duties);
    }

    /** Reports changed paths to all peers and looks for peers with a path to the pools that may be unreachable. */
    void onPathsChanged(UpstreamPaths paths, ServingMessage.Heartbeat heartbeat, Instant now) {
        peers.setUnreachable(paths.report().unreachable());
        if (!doubtfulPools.equals(paths.doubtfulPools())) {
            doubtfulPools = paths.doubtfulPools();
            updateDuties();
        }
        if (!reportedPaths.equals(paths.report())) {
            reportedPaths = paths.report();
            for (VmId peer : peers.upPeers(now)) {
                effects.accept(new ServingEffect.SendToPeer(peer, heartbeat));
            }
        }
    }

    /** Processes a record of the membership feed. */
    void onRecord(FeedRecord record, Instant now) {
        VmId id = new VmId(record.key());
        if (record.value().isEmpty()) {
            onRemoved(id, now);
            return;
        }
        Either<String, Member> decoded =
                MemberRecord.decode(record.key(), record.value().get());
        if (decoded.isLeft()) {
            log(Decision.builder("record_unreadable")
                    .field("key", record.key())
                    .field("offset", FeedPosition.text(record.offset()))
                    .field("reason", decoded.getLeft()));
            onRemoved(id, now);
            return;
        }
        Member entry = decoded.get();
        registration.onEntry(entry, now);
        if (roster.add(entry, !roster.listed(), now)) {
            log(Decision.builder("member_joined")
                    .field("member", id)
                    .field("capacity", entry.capacity())
                    .field("members", roster.size()));
            rosterChanged = true;
        }
    }

    private void onRemoved(VmId id, Instant now) {
        registration.onRemoved(id, now);
        if (roster.remove(id)) {
            log(Decision.builder("member_removed").field("member", id).field("members", roster.size()));
            rosterChanged = true;
        }
    }

    /**
     * Whether this node reads the store itself: as one of the readers of its failure domain, or because it is not
     * registered or has nobody to follow.
     */
    boolean readsStore(Instant now) {
        return roster.find(self.vm()).isEmpty()
                || peers.holders(FEED_DUTY, FEED_READERS, true, now).contains(self.vm());
    }

    /** Renews the registration, updates the set of monitored peers and sends heartbeats that are due. */
    void onTick(boolean rosterKnown, Set<VmId> partners, HeartbeatFactory heartbeats, Instant now) {
        if (rosterKnown) {
            roster.onListed();
        }
        if (rosterChanged || enginesAssigned != contention.uses(PolicyFeature.SHARED_ASSIGNMENT)) {
            // Once for all members that join together; otherwise every join during the start of a fleet would
            // recompute all rankings.
            updateDuties();
        }
        if (rosterKnown) {
            // Expiring members is left to the first feed reader of each failure domain, which is monitored anyway.
            boolean expires =
                    peers.dutyHolder(FEED_DUTY, acceptsWork.getAsBoolean(), now).equals(self.vm());
            for (Registration.Write write : registration.due(expires, now)) {
                effects.accept(new ServingEffect.WriteRecord(
                        FeedName.MEMBERSHIP, write.member().value(), write.value()));
            }
        }
        Set<VmId> watched = peers.watch(rosterKnown, partners, acceptsWork.getAsBoolean(), now);
        if (!watched.equals(connected)) {
            connected = watched;
            effects.accept(new ServingEffect.PeersChanged(List.copyOf(watched)));
        }
        List<VmId> due = peers.heartbeatsDue(now);
        if (due.isEmpty()) {
            return;
        }
        ServingMessage heartbeat = heartbeats.create(false);
        for (VmId peer : due) {
            effects.accept(new ServingEffect.SendToPeer(peer, heartbeat));
        }
    }

    /** Sends the followers of this node's reads a heartbeat with its new state before the next regular one is due. */
    void notifyFollowers(ServingMessage.Heartbeat heartbeat, Instant now) {
        for (VmId follower : peers.followers(now)) {
            effects.accept(new ServingEffect.SendToPeer(follower, heartbeat));
        }
    }

    /** Creates heartbeats with the current state of this node. */
    interface HeartbeatFactory {
        /** Creates a heartbeat, or a reply to one. */
        ServingMessage.Heartbeat create(boolean reply);
    }

    /**
     * Processes the heartbeat of a peer.
     *
     * @return whether the peer has restarted
     */
    boolean onHeartbeat(NodeId sender, ServingMessage.Heartbeat heartbeat, HeartbeatFactory heartbeats, Instant now) {
        boolean restarted = peers.onHeartbeat(sender, heartbeat, now);
        if (restarted) {
            log(Decision.builder("peer_restarted").field("peer", sender));
        }
        if (!heartbeat.reply() && !peers.watches(sender.vm())) {
            effects.accept(new ServingEffect.SendToPeer(sender.vm(), heartbeats.create(true)));
        }
        return restarted;
    }

    /** Processes the return of the store from an earlier copy, which may lack this node's registration. */
    void onStoreRestored(Instant now) {
        registration.onStoreRestored(now);
    }

    void onRecordWritten(ServingEvent.RecordWritten written, Instant now) {
        if (written.key().equals(self.vm().value())) {
            registration.onWritten(written.done(), now);
        }
    }

    private void log(Decision.Builder decision) {
        effects.accept(new ServingEffect.LogDecision(decision.build()));
    }
}
