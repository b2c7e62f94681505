package org.wagtaillug.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.route.CallerLimits;

/** Something that a node wants done. */
public sealed interface ServingEffect {
    /**
     * Send a request to an upstream and pass a good answer on as it comes.
     *
     * @param order what and where to
     */
    record Send(SendOrder order) implements ServingEffect {}

    /**
     * Close the connection of an attempt.
     *
     * @param request which
     * @param attempt of it
     */
    record GiveUpSend(RequestId request, int attempt) implements ServingEffect {}

    /**
     * Give the caller a final answer of our own.
     *
     * @param request which
     * @param refusal what to say
     */
    record Refuse(RequestId request, Refusal refusal) implements ServingEffect {}

    /**
     * Pass on the failure that the last attempt has kept.
     *
     * @param request which
     */
    record PassFailure(RequestId request) implements ServingEffect {}

    /**
     * Close the caller's connection: its answer has begun and cannot be finished.
     *
     * @param request which
     */
    record Cut(RequestId request) implements ServingEffect {}

    /**
     * Forget a request: nothing more will be said of it.
     *
     * @param request which
     * @param route its route
     * @param outcome how it ended
     * @param took from its arrival
     */
    record Finished(RequestId request, String route, Outcome outcome, Duration took) implements ServingEffect {}

    /** How a request ended, as far as metrics tell. */
    enum Outcome {
        /** The upstream's whole answer went to the caller. */
        PASSED,
        /** An upstream's failure went to the caller. */
        FAILED,
        /** This node refused it, and it has not run. */
        REFUSED,
        /** Nobody knows whether it ran, or its answer broke off. */
        LOST,
        /** The caller left. */
        LEFT
    }

    /**
     * Call a stage server.
     *
     * @param call what and where to
     */
    record CallBatch(BatchCall call) implements ServingEffect {}

    /**
     * Tell a stage server that results are not needed any more.
     *
     * @param release given once in a run of the node
     * @param maker which server
     * @param handles which results
     */
    record ReleaseResults(long release, Listing maker, List<String> handles) implements ServingEffect {}

    /**
     * Say something to another node; it may be lost.
     *
     * @param receiver who
     * @param message what
     */
    record SendToPeer(VmId receiver, ServingMessage message) implements ServingEffect {}

    /**
     * Keep connections to these nodes.
     *
     * @param peers all of them
     */
    record PeersChanged(List<VmId> peers) implements ServingEffect {}

    /**
     * Read a feed.
     *
     * @param feed which
     * @param read what
     */
    record ReadFeed(FeedName feed, FeedReader.Read read) implements ServingEffect {}

    /**
     * Write a record of a feed that belongs to the nodes. {@link ServingEvent.RecordWritten} follows.
     *
     * @param feed which
     * @param key of the record
     * @param value its content; empty to remove the key
     * @param expectedEnd the write is to fail unless the feed ends here; empty to write whatever was written before
     */
    record WriteRecord(FeedName feed, String key, Optional<byte[]> value, OptionalLong expectedEnd)
            implements ServingEffect {
        /** A write that does not depend on others. */
        WriteRecord(FeedName feed, String key, Optional<byte[]> value) {
            this(feed, key, value, OptionalLong.empty());
        }
    }

    /**
     * Callers may send this from now on.
     *
     * @param limits what
     */
    record LimitsChanged(CallerLimits limits) implements ServingEffect {}

    /**
     * Say whether the balancer may send new connections.
     *
     * @param ready whether
     * @param reason for the log
     */
    record ReadinessChanged(boolean ready, String reason) implements ServingEffect {}

    /**
     * Write a decision to the log.
     *
     * @param decision which
     */
    record LogDecision(Decision decision) implements ServingEffect {}

    /** Close callers' connections that no request is on: nobody should send one to this node any more. */
    record CloseIdleConnections() implements ServingEffect {}

    /** Everything that was begun is finished; the process may end. */
    record DrainFinished() implements ServingEffect {}
}
