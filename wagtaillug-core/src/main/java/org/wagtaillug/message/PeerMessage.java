package org.wagtaillug.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;

/** A message between two nodes. */
public sealed interface PeerMessage
        permits PeerMessage.Probe,
                PeerMessage.ProbeReply,
                PeerMessage.StateRequest,
                PeerMessage.StateReply,
                PeerMessage.GrantRequest,
                PeerMessage.GrantReply,
                ServingMessage {
    /**
     * The position of a node in the control stream, with the digest of its resulting state.
     *
     * @param through the last offset that was applied
     * @param digest the digest of the complete control state; equal at equal offsets unless one of the states is
     *     corrupt
     */
    record Position(long through, long digest) {}

    /**
     * Checks whether the receiver is up, and asks for its position.
     *
     * @param sequence returned in the reply
     * @param position the position of the sender
     */
    record Probe(long sequence, Position position) implements PeerMessage {}

    /**
     * The reply to a {@link Probe}.
     *
     * @param sequence the sequence of the probe
     * @param position the position of the sender
     * @param tailAge the time between the request for the sender's last read that reached the tail of the control
     *     stream and the arrival of the probe; empty if no read has reached it yet. It tells the prober that at the
     *     time of sending its probe, minus this age, the stream ended at {@code position}
     * @param logReachable whether the sender's last read of the log was answered
     * @param ready whether the sender accepts new requests
     */
    record ProbeReply(long sequence, Position position, Optional<Duration> tailAge, boolean logReachable, boolean ready)
            implements PeerMessage {}

    /** Requests the complete control state. */
    record StateRequest() implements PeerMessage {}

    /**
     * The complete control state as of an offset.
     *
     * @param through the offset up to which all records are included, and no later ones
     * @param entries the configuration
     * @param members the roster
     */
    record StateReply(long through, List<LogRecord.StateEntry> entries, List<LogRecord.StateMember> members)
            implements PeerMessage {}

    /**
     * Requests allowances from an owner, and reports the use of the previous ones.
     *
     * @param sequence increases with each request to this owner; returned in the reply
     * @param applied the sequence of the latest reply that the sender has applied; 0 for none
     * @param demands one for each upstream of this owner that the sender uses or wants to use
     */
    record GrantRequest(long sequence, long applied, List<GrantDemand> demands) implements PeerMessage {}

    /**
     * The demand of one node for one upstream.
     *
     * @param upstream the upstream
     * @param wanted the number of requests that the node would have in flight there concurrently
     * @param inUse the number of requests that it has in flight now
     * @param succeeded the number of requests of this node that succeeded since {@code startedAt}
     * @param failed whether the upstream has failed or refused requests since the last message in a way that suggests
     *     that it is cold
     * @param startedAt the start time of the upstream to which the counts refer; empty if unknown
     */
    record GrantDemand(
            VmId upstream, int wanted, int inUse, long succeeded, boolean failed, Optional<Instant> startedAt) {}

    /**
     * An owner's reply, or an unsolicited reduction of an allowance.
     *
     * @param sequence the sequence of the request; 0 if unsolicited
     * @param offers one for each requested upstream that the sender owns
     */
    record GrantReply(long sequence, List<GrantOffer> offers) implements PeerMessage {}

    /**
     * The right to have requests in flight at one upstream.
     *
     * @param upstream the upstream
     * @param allowed the maximum number of requests in flight; no request may be started beyond it, or after the
     *     lifetime
     * @param lifetime how long the grant is valid, counted from the sending of the request that it answers
     * @param cold whether the upstream is cold
     * @param report the latest load report, if any
     */
    record GrantOffer(VmId upstream, int allowed, Duration lifetime, boolean cold, Optional<LoadReport> report) {}
}
