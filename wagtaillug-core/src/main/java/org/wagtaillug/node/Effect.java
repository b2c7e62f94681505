package org.wagtaillug.node;

import java.util.List;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;

/** An action that the driver of a {@link Node} has to execute. */
public sealed interface Effect {
    /**
     * Sends an attempt, unless its {@code sendDeadline} has passed by then.
     *
     * @param attempt the attempt and its target
     */
    record StartAttempt(Attempt attempt) implements Effect {}

    /**
     * Cancels an attempt by closing its connection. The end of the attempt is still reported.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptId attempt) implements Effect {}

    /**
     * The final answer: the request was served.
     *
     * @param request the request
     * @param templateVersion the offset of the template that it ran with
     * @param output the output of the last stage
     */
    record AnswerServed(RequestId request, long templateVersion, Payload output) implements Effect {}

    /**
     * The final answer: the request was refused.
     *
     * @param request the request
     * @param templateVersion the offset of the template that it would have run with; 0 if none was found
     * @param refusal the reason and what is known about the request
     */
    record AnswerRefused(RequestId request, long templateVersion, Refusal refusal) implements Effect {}

    /**
     * Sends a message to another node. May be dropped if there is no connection.
     *
     * @param receiver the VM of the node
     * @param message the message
     */
    record SendToPeer(VmId receiver, PeerMessage message) implements Effect {}

    /**
     * Informs the driver of the addresses of the other nodes when they change.
     *
     * @param peers all other members of the roster
     */
    record PeersChanged(List<LogRecord.StateMember> peers) implements Effect {}

    /**
     * Reads a stream from an offset with a short wait at the tail. At most one read per stream is in flight.
     *
     * @param stream the stream
     * @param from the first requested offset
     */
    record ReadLog(LogStream stream, long from) implements Effect {}

    /**
     * Appends a record. The driver sends it once and never retries it.
     *
     * @param append the number under which the result is reported
     * @param stream the stream
     * @param record the record
     */
    record AppendToLog(long append, LogStream stream, LogRecord record) implements Effect {}

    /** Reads the platform's VM list. */
    record ReadVmList() implements Effect {}

    /**
     * Requests an upstream's load.
     *
     * @param upstream the upstream
     */
    record RequestLoad(VmId upstream) implements Effect {}

    /**
     * Orders an engine to load or unload a model.
     *
     * @param upstream the engine
     * @param load true to load, false to unload
     * @param model the model
     * @param version the version of the model
     * @param fencingNumber increases with each new issuer of orders for the engine
     */
    record SendOrder(VmId upstream, boolean load, ModelId model, int version, long fencingNumber) implements Effect {}

    /**
     * An operator's change was accepted and took effect.
     *
     * @param changeId the id of the change
     * @param offset the new version of its key
     */
    record ChangeAccepted(String changeId, long offset) implements Effect {}

    /**
     * An operator's change was not accepted.
     *
     * @param changeId the id of the change
     * @param refusal the reason
     */
    record ChangeRefused(String changeId, Refusal refusal) implements Effect {}

    /**
     * The readiness of the node changed: whether the load balancer may send new requests to it.
     *
     * @param ready the new readiness
     * @param reason the reason
     */
    record ReadinessChanged(boolean ready, String reason) implements Effect {}

    /**
     * Writes a routing or placement decision to the log.
     *
     * @param decision the decision
     */
    record LogDecision(Decision decision) implements Effect {}

    /** All requests in progress have finished: the process may exit. */
    record DrainFinished() implements Effect {}
}
