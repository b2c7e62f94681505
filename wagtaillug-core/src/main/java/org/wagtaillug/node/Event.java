package org.wagtaillug.node;

import java.time.Instant;
import java.util.List;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage;

/** An input of a {@link Node}. */
public sealed interface Event {
    /** The clock advanced. The driver sends this event at least every {@link Node#TICK_INTERVAL}. */
    record Tick() implements Event {}

    /**
     * A request arrived from a caller, completely received.
     *
     * @param request the request
     */
    record RequestArrived(Request request) implements Event {}

    /**
     * The caller closed its connection and no longer expects an answer.
     *
     * @param request the request
     */
    record CallerDisconnected(RequestId request) implements Event {}

    /**
     * An attempt made progress: the first token or the response header arrived.
     *
     * @param attempt the attempt
     */
    record AttemptProgressed(AttemptId attempt) implements Event {}

    /**
     * An attempt ended. Reported once for each {@link Effect.StartAttempt}, also after a cancellation.
     *
     * @param attempt the attempt
     * @param end how it ended
     */
    record AttemptEnded(AttemptId attempt, AttemptEnd end) implements Event {}

    /**
     * A message from another node arrived.
     *
     * @param sender the node that sent it
     * @param message the message
     */
    record PeerMessageReceived(NodeId sender, PeerMessage message) implements Event {}

    /**
     * A read of the log was answered.
     *
     * @param stream the stream
     * @param sentAt the time when the read was sent
     * @param batch the response
     */
    record LogRead(LogStream stream, Instant sentAt, LogBatch batch) implements Event {}

    /**
     * A read of the log failed.
     *
     * @param stream the stream
     */
    record LogReadFailed(LogStream stream) implements Event {}

    /**
     * An append was acknowledged.
     *
     * @param append the number of the append, from its effect
     * @param offset the offset of the record
     */
    record LogAppended(long append, long offset) implements Event {}

    /**
     * An append failed or was not acknowledged.
     *
     * @param append the number of the append, from its effect
     * @param mayTakeEffect whether the record may be on the log already or reach it later
     */
    record LogAppendFailed(long append, boolean mayTakeEffect) implements Event {}

    /**
     * The platform's VM list was read.
     *
     * @param vms all VMs on the list
     */
    record VmListRead(List<Vm> vms) implements Event {}

    /**
     * An upstream reported its load.
     *
     * @param upstream the upstream
     * @param report the load report
     */
    record LoadReported(VmId upstream, LoadReport report) implements Event {}

    /**
     * An upstream did not answer a request for its load.
     *
     * @param upstream the upstream
     */
    record LoadRequestFailed(VmId upstream) implements Event {}

    /**
     * An operator submitted a change.
     *
     * @param change the change; the answer refers to its change id
     */
    record ChangeSubmitted(LogRecord.Change change) implements Event {}

    /**
     * An order to an engine was answered or failed.
     *
     * @param upstream the engine
     * @param accepted whether the engine accepted the order
     */
    record OrderEnded(VmId upstream, boolean accepted) implements Event {}

    /**
     * The process was asked to shut down: the node finishes the requests in progress and accepts no new ones.
     *
     * @param requestedAt when it was asked; if it was asked during startup, the event follows once the node has started
     */
    record DrainStarted(Instant requestedAt) implements Event {}
}
