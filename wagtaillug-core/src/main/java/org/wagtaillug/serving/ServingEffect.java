package org.wagtaillug.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.route.CallerLimits;

/** An output of {@link Serving}, to be carried out by the caller. */
public sealed interface ServingEffect {
    /**
     * Send a request to an upstream and forward a successful answer as it arrives.
     *
     * @param order the request and its target
     */
    record Send(SendOrder order) implements ServingEffect {}

    /**
     * Close the connection of an attempt.
     *
     * @param request the request
     * @param attempt its attempt
     */
    record CancelSend(RequestId request, int attempt) implements ServingEffect {}

    /**
     * Send the caller a final answer from this node.
     *
     * @param request the request
     * @param refusal the answer
     */
    record Refuse(RequestId request, Refusal refusal) implements ServingEffect {}

    /**
     * Forward the failure response that was kept of the last attempt.
     *
     * @param request the request
     */
    record ForwardFailure(RequestId request) implements ServingEffect {}

    /**
     * Close the caller's connection: its answer has started and cannot be completed.
     *
     * @param request the request
     */
    record Cut(RequestId request) implements ServingEffect {}

    /**
     * Discard the state of a request; no further effect refers to it.
     *
     * @param request the request
     * @param route its route
     * @param outcome how it ended
     * @param took time since its arrival
     */
    record Finished(RequestId request, String route, Outcome outcome, Duration took) implements ServingEffect {}

    /** How a request ended, as reported in metrics. */
    enum Outcome {
        /** The complete answer of the upstream was sent to the caller. */
        PASSED,
        /** The failure response of an upstream was sent to the caller. */
        FAILED,
        /** This node refused the request; it was not executed. */
        REFUSED,
        /** It is unknown whether the request was executed, or its answer was cut off. */
        LOST,
        /** The caller disconnected. */
        LEFT
    }

    /**
     * Call a stage server.
     *
     * @param call the call and its target
     */
    record CallBatch(BatchCall call) implements ServingEffect {}

    /**
     * Tell a stage server that results are no longer needed.
     *
     * @param release number of the release, unique within a run of the node
     * @param server the server that holds the results
     * @param handles handles of the results
     */
    record ReleaseResults(long release, Listing server, List<String> handles) implements ServingEffect {}

    /**
     * Send an upstream a request that it does not execute, over a connection of its own. Answered by {@link ServingEvent.ConnectEnded}.
     *
     * @param upstream the upstream
     */
    record ProbeUpstream(Listing upstream) implements ServingEffect {}

    /**
     * Connect to an upstream and forward the bytes of a peer. Answered by {@link ServingEvent.ConnectEnded}.
     *
     * @param number number of the peer's request
     * @param upstream the upstream
     */
    record OpenTunnel(long number, Listing upstream) implements ServingEffect {}

    /**
     * Refuse a peer's request for a tunnel.
     *
     * @param number number of the request
     */
    record RefuseTunnel(long number) implements ServingEffect {}

    /**
     * Send a message to another node; it may be lost.
     *
     * @param receiver the receiving node
     * @param message the message
     */
    record SendToPeer(VmId receiver, ServingMessage message) implements ServingEffect {}

    /**
     * Keep connections to exactly these nodes.
     *
     * @param peers all of them
     */
    record PeersChanged(List<VmId> peers) implements ServingEffect {}

    /**
     * Read a feed.
     *
     * @param feed the feed
     * @param read the range to read
     */
    record ReadFeed(FeedName feed, FeedReader.Read read) implements ServingEffect {}

    /**
     * Write a record of a feed that nodes write. Answered by {@link ServingEvent.RecordWritten}.
     *
     * @param feed the feed
     * @param key key of the record
     * @param value its content; empty to remove the key
     * @param expectedEnd the write must fail unless the feed ends at this position; empty for an unconditional write
     */
    record WriteRecord(FeedName feed, String key, Optional<byte[]> value, OptionalLong expectedEnd)
            implements ServingEffect {
        /** Creates an unconditional write. */
        WriteRecord(FeedName feed, String key, Optional<byte[]> value) {
            this(feed, key, value, OptionalLong.empty());
        }
    }

    /**
     * Apply these limits to callers from now on.
     *
     * @param limits the limits
     */
    record LimitsChanged(CallerLimits limits) implements ServingEffect {}

    /** Bound from now on what is held for slow readers; emitted once. */
    record ReaderLimitsEnabled() implements ServingEffect {}

    /**
     * Report whether the load balancer may open new connections.
     *
     * @param ready whether the node is ready
     * @param reason the cause, for the log
     */
    record ReadinessChanged(boolean ready, String reason) implements ServingEffect {}

    /**
     * Write a decision to the log.
     *
     * @param decision the decision
     */
    record LogDecision(Decision decision) implements ServingEffect {}

    /**
     * Add to the metrics what the upstreams of a pool have reported of their load.
     *
     * @param pool the pool
     * @param reports the number of reports since the last such effect of the pool
     * @param malformed the number of reports since then that could not be read
     * @param slowdown how long work is expected to take now, as a multiple of the usual time; the mean of its upstreams
     */
    record LoadObserved(PoolId pool, long reports, long malformed, double slowdown) implements ServingEffect {}

    /**
     * Count a step in the assignment of an engine.
     *
     * @param pool the pool of the engine
     * @param event the step
     */
    record CountAssignment(PoolId pool, AssignmentEvent event) implements ServingEffect {}

    /** The steps in the assignment of an engine by another node, as reported in metrics. */
    enum AssignmentEvent {
        /** The other node was asked. */
        ASKED,
        /** It replied in time. */
        ANSWERED,
        /** It did not reply in time. */
        TIMED_OUT,
        /** An assigned engine got the request, whichever node assigned it. */
        USED
    }

    /** Close idle caller connections, as no new request should reach this node any more. */
    record CloseIdleConnections() implements ServingEffect {}

    /** All work is finished; the process may exit. */
    record DrainFinished() implements ServingEffect {}
}
