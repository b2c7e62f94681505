package org.wagtaillug.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.PeerMessage.ProbeReply;

/** The state of one peer that this node probes. */
final class ProbedPeer {
    /** Replies to older probes are dropped. */
    private static final int MAX_PENDING_PROBES = 8;

    private final VmId vm;
    private Optional<NodeId> node;
    private final Deque<SentProbe> probes = new ArrayDeque<>();
    private final int removalRank;
    private Instant silentSince;
    private Optional<Instant> heardAt = Optional.empty();
    private Optional<NodeId> heardFrom = Optional.empty();
    private Optional<ProbeReply> lastReply = Optional.empty();
    private Optional<Instant> tailReadAt = Optional.empty();
    private Optional<Instant> removalRequestedAt = Optional.empty();

    /**
     * A probe without a reply so far.
     *
     * @param sequence its sequence number
     * @param sentAt when it was passed to the I/O layer
     */
    private record SentProbe(long sequence, Instant sentAt) {}

    /**
     * Starts probing a peer.
     *
     * @param vm the VM that the peer runs on
     * @param node the node id of the peer; empty for a seed
     * @param removalRank from 0 to 7; staggers the removal by the nodes that probe the peer, so that one of them
     *      removes it first
     */
    ProbedPeer(VmId vm, Optional<NodeId> node, int removalRank, Instant now) {
        this.vm = vm;
        this.node = node;
        this.removalRank = removalRank;
        this.silentSince = now;
    }

    VmId vm() {
        return vm;
    }

    Optional<NodeId> node() {
        return node;
    }

    /**
     * Turns a seed into a member, if the last reply came from the node with that id. Without this, a node that starts
     * while the log is unavailable would hear no peer between learning the roster and the replies to the next probes,
     * and would consider itself cut off.
     */
    boolean identify(Optional<NodeId> member) {
        if (node.isPresent() || member.isEmpty() || !heardFrom.equals(member)) {
            return false;
        }
        node = member;
        return true;
    }

    int removalRank() {
        return removalRank;
    }

    Optional<ProbeReply> lastReply() {
        return lastReply;
    }

    /** A time at which the peer had read to the tail of the control stream, according to its last reply. */
    Optional<Instant> tailReadAt() {
        return tailReadAt;
    }

    /** Whether the peer has answered a probe within the timeout. */
    boolean isHeard(Instant now) {
        return heardAt.isPresent() && now.isBefore(heardAt.get().plus(Timing.PEER_TIMEOUT));
    }

    /** How long the peer has been silent, not counting pauses of this node. */
    Duration silence(Instant now) {
        return Duration.between(silentSince, now);
    }

    /** Restarts the count of the silence. */
    void resetSilence(Instant now) {
        silentSince = now;
    }

    void probeSent(long sequence, Instant now) {
        probes.addLast(new SentProbe(sequence, now));
        if (probes.size() > MAX_PENDING_PROBES) {
            probes.removeFirst();
        }
    }

    /** Handles a reply. Returns whether it answers a pending probe. */
    boolean onReply(NodeId sender, ProbeReply reply, Instant now) {
        if (node.isPresent() && !node.get().equals(sender)) {
            return false;
        }
        Iterator<SentProbe> sent = probes.iterator();
        while (sent.hasNext()) {
            SentProbe probe = sent.next();
            if (probe.sequence() != reply.sequence()) {
                continue;
            }
            sent.remove();
            silentSince = now;
            heardAt = Optional.of(now);
            heardFrom = Optional.of(sender);
            lastReply = Optional.of(reply);
            tailReadAt = reply.tailAge().filter(age -> !age.isNegative()).map(age -> probe.sentAt()
                    .minus(age));
            return true;
        }
        return false;
    }

    boolean removalRequestedWithin(Duration length, Instant now) {
        return removalRequestedAt.isPresent()
                && now.isBefore(removalRequestedAt.get().plus(length));
    }

    void removalRequested(Instant now) {
        removalRequestedAt = Optional.of(now);
    }
}
