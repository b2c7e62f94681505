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

/** Something that the frame has to do. */
public sealed interface Effect {
    /**
     * Sends an attempt, unless its {@code startBefore} has passed by then.
     *
     * @param attempt what and where
     */
    record StartAttempt(Attempt attempt) implements Effect {}

    /**
     * Gives up an attempt: close its connection. Its end is reported all the same.
     *
     * @param attempt which
     */
    record CancelAttempt(AttemptId attempt) implements Effect {}

    /**
     * The final answer: the request was served.
     *
     * @param request which
     * @param templateVersion the offset of the template that it ran under
     * @param output the last stage's output
     */
    record AnswerServed(RequestId request, long templateVersion, Payload output) implements Effect {}

    /**
     * The final answer: the request was refused.
     *
     * @param request which
     * @param templateVersion the offset of the template that it would have run under; 0 if none was found
     * @param refusal why, and what is known of it
     */
    record AnswerRefused(RequestId request, long templateVersion, Refusal refusal) implements Effect {}

    /**
     * Says something to another node. May be dropped when no connection stands.
     *
     * @param receiver the VM of the node
     * @param message what
     */
    record SendToPeer(VmId receiver, PeerMessage message) implements Effect {}

    /**
     * Tells the frame where the nodes listen, whenever that changes.
     *
     * @param peers all other members of the roster
     */
    record PeersChanged(List<LogRecord.StateMember> peers) implements Effect {}

    /**
     * Reads a stream from an offset, waiting a moment at the tail. There is at most one read a stream at a time.
     *
     * @param stream which
     * @param from the first offset wanted
     */
    record ReadLog(LogStream stream, long from) implements Effect {}

    /**
     * Appends a record; sent once, never again by the frame itself.
     *
     * @param append the number by which the outcome is reported
     * @param stream where
     * @param record what
     */
    record AppendToLog(long append, LogStream stream, LogRecord record) implements Effect {}

    /** Reads the platform's list of VMs. */
    record ReadVmList() implements Effect {}

    /**
     * Asks an upstream for its load.
     *
     * @param upstream which
     */
    record AskLoad(VmId upstream) implements Effect {}

    /**
     * Orders an engine to load or unload a model.
     *
     * @param upstream which engine
     * @param load true to load, false to unload
     * @param model which model
     * @param version which version
     * @param fencingNumber rises with each new issuer of the engine's orders
     */
    record SendOrder(VmId upstream, boolean load, ModelId model, int version, long fencingNumber) implements Effect {}

    /**
     * An operator's change was accepted: it won its key.
     *
     * @param changeId which
     * @param offset its version
     */
    record ChangeAccepted(String changeId, long offset) implements Effect {}

    /**
     * An operator's change was not accepted.
     *
     * @param changeId which
     * @param refusal why
     */
    record ChangeRefused(String changeId, Refusal refusal) implements Effect {}

    /**
     * Whether the balancer may send new requests here.
     *
     * @param ready the new state
     * @param reason why
     */
    record ReadinessChanged(boolean ready, String reason) implements Effect {}

    /**
     * One line for the log: a routing or placement decision.
     *
     * @param decision what was decided and why
     */
    record LogDecision(Decision decision) implements Effect {}

    /** All that was begun is finished: the process may end. */
    record DrainFinished() implements Effect {}
}
