package org.wagtaillug.serving;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.feed.FeedName;
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
import org.wagtaillug.route.ServingConfiguration;

/** Keeps this node registered and in contact with the nodes whose duties it depends on. */
final class PeerContact {
    /** Nodes of a failure domain that read the store for the others. */
    private static final int FEED_READERS = 2;

    private static final String FEED_DUTY = "feeds";
    private static final String ROLLOUT_DUTY = "rollouts";

    private final NodeId self;
    private final Member member;
    private final Roster roster;
    private final Peers peers;
    private final Registration registration;
    private final Consumer<ServingEffect> effects;
    private final BooleanSupplier takesWork;
    private List<PoolId> scheduledPools = List.of();
    private Set<VmId> connected = Set.of();
    private boolean rosterRead;
    private boolean rosterChanged;
    private boolean rollsOut;

    PeerContact(
            ServingSetup setup,
            Roster roster,
            Peers peers,
            Consumer<ServingEffect> effects,
            BooleanSupplier takesWork) {
        this.self = setup.self();
        this.member = new Member(setup.self().vm(), setup.domain(), setup.capacity());
        this.roster = roster;
        this.peers = peers;
        this.registration = new Registration(member);
        this.effects = effects;
        this.takesWork = takesWork;
    }

    /** The duty of scheduling the calls of a pool. */
    static String scheduling(PoolId pool) {
        return "pool/" + pool;
    }

    void configure(ServingConfiguration newest) {
        scheduledPools = newest.scheduledPools();
        depend();
    }

    /** Sets whether there is a rollout under way that a node has to coordinate. */
    void rollsOut(boolean underWay) {
        if (underWay != rollsOut) {
            rollsOut = underWay;
            depend();
        }
    }

    /** The node that coordinates rollouts. */
    VmId rolloutCoordinator(Instant now) {
        return peers.holder(ROLLOUT_DUTY, takesWork.getAsBoolean(), now);
    }

    private void depend() {
        rosterChanged = false;
        Map<String, Duty> duties = new HashMap<>();
        for (PoolId pool : scheduledPools) {
            duties.put(scheduling(pool), Duty.of(roster.ranking(scheduling(pool))));
        }
        duties.put(FEED_DUTY, new Duty(roster.ranking(FEED_DUTY, member.domain()), FEED_READERS, true));
        if (rollsOut) {
            duties.put(ROLLOUT_DUTY, new Duty(roster.ranking(ROLLOUT_DUTY), 1, true));
        }
        peers.depend(duties);
    }

    /** A record of the membership feed. */
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
                    .field("offset", record.offset())
                    .field("reason", decoded.getLeft()));
            onRemoved(id, now);
            return;
        }
        Member entry = decoded.get();
        registration.onEntry(entry, now);
        if (roster.add(entry, !rosterRead, now)) {
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
     * Whether this node reads the store for others. One that is not registered, or has nobody to follow, reads for itself.
     */
    boolean readsStore(Instant now) {
        return roster.find(self.vm()).isEmpty()
                || peers.holders(FEED_DUTY, FEED_READERS, true, now).contains(self.vm());
    }

    /** Renews the registration, the set of watched peers and the heartbeats to them. */
    void onTick(boolean rosterKnown, Set<VmId> partners, Heartbeats heartbeats, Instant now) {
        rosterRead |= rosterKnown;
        if (rosterChanged) {
            // Once for all members that join together: a fleet that starts would rank all of them for each one.
            depend();
        }
        if (rosterKnown) {
            // The first reader of each failure domain does this too, so no node has to be watched for it alone.
            boolean expires =
                    peers.holder(FEED_DUTY, takesWork.getAsBoolean(), now).equals(self.vm());
            for (Registration.Write write : registration.due(expires, now)) {
                effects.accept(new ServingEffect.WriteRecord(
                        FeedName.MEMBERSHIP, write.member().value(), write.value()));
            }
        }
        Set<VmId> wanted = peers.watch(rosterKnown, partners, takesWork.getAsBoolean(), now);
        if (!wanted.equals(connected)) {
            connected = wanted;
            effects.accept(new ServingEffect.PeersChanged(List.copyOf(wanted)));
        }
        List<VmId> due = peers.heartbeatsDue(now);
        if (due.isEmpty()) {
            return;
        }
        ServingMessage heartbeat = heartbeats.next(false);
        for (VmId peer : due) {
            effects.accept(new ServingEffect.SendToPeer(peer, heartbeat));
        }
    }

    /** Tells those that follow this node's reads what has changed with it, before the next heartbeat is due. */
    void tellFollowers(ServingMessage.Heartbeat heartbeat, Instant now) {
        for (VmId follower : peers.followers(now)) {
            effects.accept(new ServingEffect.SendToPeer(follower, heartbeat));
        }
    }

    /** Makes the heartbeat that is true now. */
    interface Heartbeats {
        /** A heartbeat, or a reply to one. */
        ServingMessage.Heartbeat next(boolean reply);
    }

    /**
     * A peer sends a heartbeat.
     *
     * @return whether it is a new run of its VM
     */
    boolean onHeartbeat(NodeId sender, ServingMessage.Heartbeat heartbeat, Heartbeats heartbeats, Instant now) {
        boolean restarted = peers.onHeartbeat(sender, heartbeat, now);
        if (restarted) {
            log(Decision.builder("peer_restarted").field("peer", sender));
        }
        if (!heartbeat.reply() && !peers.watches(sender.vm())) {
            effects.accept(new ServingEffect.SendToPeer(sender.vm(), heartbeats.next(true)));
        }
        return restarted;
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
