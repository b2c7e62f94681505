package org.wagtaillug.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;

/** One message between two nodes. */
public sealed interface PeerMessage
        permits PeerMessage.Probe,
                PeerMessage.ProbeReply,
                PeerMessage.StateAsk,
                PeerMessage.StateReply,
                PeerMessage.GrantAsk,
                PeerMessage.GrantReply,
                ServingMessage {
    /**
     * How far a node has read the control stream and what it made of it.
     *
     * @param through the last offset that it has folded in
     * @param digest of its whole control state; equal at equal offsets unless one of the two is corrupt
     */
    record Position(long through, long digest) {}

    /**
     * Asks whether the other is there and how far it has read.
     *
     * @param sequence comes back in the answer
     * @param position the sender's
     */
    record Probe(long sequence, Position position) implements PeerMessage {}

    /**
     * Answers a {@link Probe}.
     *
     * @param sequence of the probe
     * @param position the sender's
     * @param tailAge how long before it got the probe the sender had asked for the read that last reached the tail of
     *     the control stream; empty if none did yet. Lets the prober conclude: at my probe's sending less this age,
     *     everything up to {@code position} was all there was
     * @param logReachable whether the sender's last read of the log was answered
     * @param ready whether the sender takes new requests
     */
    record ProbeReply(long sequence, Position position, Optional<Duration> tailAge, boolean logReachable, boolean ready)
            implements PeerMessage {}

    /** Asks for the whole control state. */
    record StateAsk() implements PeerMessage {}

    /**
     * The whole control state after a given offset.
     *
     * @param through every record up to this offset is in it, none after it
     * @param entries the configuration
     * @param members the roster
     */
    record StateReply(long through, List<LogRecord.StateEntry> entries, List<LogRecord.StateMember> members)
            implements PeerMessage {}

    /**
     * Asks an owner for allowances, and reports what the last ones were used for.
     *
     * @param sequence rises with each ask to this owner; comes back in the reply
     * @param applied the sequence of the newest reply that the sender acts on; 0 for none
     * @param demands one for each upstream of this owner that the sender uses or wants to use
     */
    record GrantAsk(long sequence, long applied, List<GrantDemand> demands) implements PeerMessage {}

    /**
     * One node's want of one upstream.
     *
     * @param upstream which
     * @param wanted how many requests it would have in flight there at once
     * @param inUse how many it has in flight now
     * @param succeeded how many ended well since {@code startedAt}, of this node's alone
     * @param failed whether the upstream failed or refused since the last ask in a way that suggests it is cold
     * @param startedAt the start of the upstream that the counts are of; empty when not known
     */
    record GrantDemand(
            VmId upstream, int wanted, int inUse, long succeeded, boolean failed, Optional<Instant> startedAt) {}

    /**
     * An owner's answer, or unasked word of a smaller allowance.
     *
     * @param sequence of the ask; 0 when unasked
     * @param offers one for each upstream that was asked for and that the sender owns
     */
    record GrantReply(long sequence, List<GrantOffer> offers) implements PeerMessage {}

    /**
     * The right to have requests in flight at one upstream.
     *
     * @param upstream which
     * @param allowed the most in flight at once; a start above it, or after the lifetime, is not allowed
     * @param lifetime how long it holds, counted from the sending of the ask that it answers
     * @param cold whether the upstream is cold
     * @param report the newest load report, if there is one
     */
    record GrantOffer(VmId upstream, int allowed, Duration lifetime, boolean cold, Optional<LoadReport> report) {}
}
