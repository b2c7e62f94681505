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

/** What this node knows of one peer that it probes. */
final class Watch {
    /** Replies to older probes are dropped. */
    private static final int REMEMBERED_PROBES = 8;

    private final VmId vm;
    private Optional<NodeId> node;
    private final Deque<SentProbe> probes = new ArrayDeque<>();
    private final int turn;
    private Instant silentSince;
    private Optional<Instant> heardAt = Optional.empty();
    private Optional<NodeId> heardFrom = Optional.empty();
    private Optional<ProbeReply> last = Optional.empty();
    private Optional<Instant> tailKnownAt = Optional.empty();
    private Optional<Instant> removalAskedAt = Optional.empty();

    /**
     * A probe on its way.
     *
     * @param sequence its number
     * @param sentAt when it was handed to the frame
     */
    private record SentProbe(long sequence, Instant sentAt) {}

    /**
     * Starts watching.
     *
     * @param vm where the peer runs
     * @param node which run of it; empty for a seed
     * @param turn from 0 to 7, so that of those who watch it one removes it first
     */
    Watch(VmId vm, Optional<NodeId> node, int turn, Instant now) {
        this.vm = vm;
        this.node = node;
        this.turn = turn;
        this.silentSince = now;
    }

    VmId vm() {
        return vm;
    }

    Optional<NodeId> node() {
        return node;
    }

    /**
     * Turns the watch of a seed into that of a member, if it was that run that answered. Without it a node that starts
     * while the log is down hears nobody from the moment that it learns the roster until the next probes are answered, and
     * takes itself to be cut off.
     */
    boolean identify(Optional<NodeId> member) {
        if (node.isPresent() || member.isEmpty() || !heardFrom.equals(member)) {
            return false;
        }
        node = member;
        return true;
    }

    int turn() {
        return turn;
    }

    Optional<ProbeReply> last() {
        return last;
    }

    /** A time at which the peer had read to the tail of the control stream, by its last reply. */
    Optional<Instant> tailKnownAt() {
        return tailKnownAt;
    }

    /** Whether the peer has answered a probe within the timeout. */
    boolean heard(Instant now) {
        return heardAt.isPresent() && now.isBefore(heardAt.get().plus(Timing.PEER_TIMEOUT));
    }

    /** How long the peer has been silent, not counting while this node itself stood still. */
    Duration silence(Instant now) {
        return Duration.between(silentSince, now);
    }

    /** Begins to count the silence anew. */
    void forgive(Instant now) {
        silentSince = now;
    }

    void probeSent(long sequence, Instant now) {
        probes.addLast(new SentProbe(sequence, now));
        if (probes.size() > REMEMBERED_PROBES) {
            probes.removeFirst();
        }
    }

    /** Takes a reply in. Gives whether it answers a probe that is remembered. */
    boolean answered(NodeId sender, ProbeReply reply, Instant now) {
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
            last = Optional.of(reply);
            tailKnownAt = reply.tailAge().filter(age -> !age.isNegative()).map(age -> probe.sentAt()
                    .minus(age));
            return true;
        }
        return false;
    }

    boolean removalAskedWithin(Duration length, Instant now) {
        return removalAskedAt.isPresent() && now.isBefore(removalAskedAt.get().plus(length));
    }

    void removalAsked(Instant now) {
        removalAskedAt = Optional.of(now);
    }
}
