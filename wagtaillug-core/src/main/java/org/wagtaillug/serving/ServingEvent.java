package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.batch.BatchCallEnd;
import org.wagtaillug.feed.FeedBatch;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedRecord;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.notice.UpstreamNotice;

/** An input of {@link Serving}. */
public sealed interface ServingEvent {
    /** The tick interval has elapsed. */
    record Tick() implements ServingEvent {}

    /**
     * A caller's request has been received completely.
     *
     * @param request the request
     */
    record RequestArrived(RoutedRequest request) implements ServingEvent {}

    /**
     * The caller has closed its connection.
     *
     * @param request the caller's request
     */
    record CallerDisconnected(RequestId request) implements ServingEvent {}

    /**
     * An upstream has started a successful answer.
     *
     * @param request the request
     * @param attempt its attempt
     * @param notice what the upstream announces in the answer; empty if that is unreadable
     */
    record AnswerStarted(RequestId request, int attempt, Optional<UpstreamNotice> notice) implements ServingEvent {
        /** Creates an event for an answer in which the upstream announces nothing. */
        AnswerStarted(RequestId request, int attempt) {
            this(request, attempt, Optional.of(UpstreamNotice.NONE));
        }
    }

    /**
     * The first complete event of a stream is about to be passed to the caller by an attempt.
     *
     * @param request the request
     * @param attempt its attempt
     */
    record EventPassed(RequestId request, int attempt) implements ServingEvent {}

    /**
     * An attempt has ended; sent once for each {@link ServingEffect.Send}.
     *
     * @param request the request
     * @param attempt its attempt
     * @param end how the attempt ended
     * @param notice what the upstream announces in its answer; empty if it sent none, or if an
     *     {@link AnswerStarted} has reported it
     */
    record SendEnded(RequestId request, int attempt, SendEnd end, Optional<UpstreamNotice> notice)
            implements ServingEvent {
        /** Creates an event for an attempt without a notice. */
        SendEnded(RequestId request, int attempt, SendEnd end) {
            this(request, attempt, end, Optional.empty());
        }
    }

    /**
     * A call to a stage server has ended; sent once for each {@link ServingEffect.CallBatch}.
     *
     * @param call number of the call
     * @param end how the call ended
     * @param notice what the server announces in its answer; empty if it sent none
     */
    record BatchCallEnded(long call, BatchCallEnd end, Optional<UpstreamNotice> notice) implements ServingEvent {
        /** Creates an event for a call without a notice. */
        BatchCallEnded(long call, BatchCallEnd end) {
            this(call, end, Optional.empty());
        }
    }

    /**
     * A release has ended; sent once for each {@link ServingEffect.ReleaseResults}.
     *
     * @param release number of the release
     * @param done whether the server has accepted it
     * @param notice what the server announces in its answer; empty if it sent none
     */
    record ReleaseEnded(long release, boolean done, Optional<UpstreamNotice> notice) implements ServingEvent {
        /** Creates an event for a release without a notice. */
        ReleaseEnded(long release, boolean done) {
            this(release, done, Optional.empty());
        }
    }

    /**
     * An attempt to reach an upstream has ended, for a {@link ServingEffect.ProbeUpstream} or a
     * {@link ServingEffect.OpenTunnel}.
     *
     * @param upstream the upstream
     * @param failure why the connection could not be opened, or was reset before an answer; empty if it works
     */
    record ConnectEnded(VmId upstream, Optional<String> failure) implements ServingEvent {}

    /**
     * A peer has requested a tunnel to an upstream.
     *
     * @param number number of the request, unique within a run of the node
     * @param upstream the upstream
     * @param incarnation the incarnation of the upstream that the peer knows
     */
    record TunnelRequested(long number, VmId upstream, long incarnation) implements ServingEvent {}

    /**
     * A message from another node has been received.
     *
     * @param sender the sending node
     * @param message the message
     */
    record PeerMessageReceived(NodeId sender, ServingMessage message) implements ServingEvent {}

    /**
     * A page of the latest record of each key has been read.
     *
     * @param feed the feed
     * @param records the records of the page
     * @param more whether another page follows
     * @param end the end position of the feed
     */
    record FeedListed(FeedName feed, List<FeedRecord> records, boolean more, long end) implements ServingEvent {}

    /**
     * Records have been read.
     *
     * @param feed the feed
     * @param batch the records
     */
    record FeedRead(FeedName feed, FeedBatch batch) implements ServingEvent {}

    /**
     * The requested records are past the retention of the store.
     *
     * @param feed the feed
     */
    record FeedTruncated(FeedName feed) implements ServingEvent {}

    /**
     * A read was not answered or was refused.
     *
     * @param feed the feed
     * @param reason the cause, for the log
     */
    record FeedFailed(FeedName feed, String reason) implements ServingEvent {}

    /**
     * A write has ended; sent once for each {@link ServingEffect.WriteRecord}.
     *
     * @param feed the feed
     * @param key key of the record
     * @param done whether the store has confirmed the write; an unconfirmed record may have been written
     */
    record RecordWritten(FeedName feed, String key, boolean done) implements ServingEvent {}

    /**
     * A connection to a peer has been established.
     *
     * @param peer the peer
     */
    record PeerConnected(VmId peer) implements ServingEvent {}

    /**
     * The connection to a peer has been lost or cannot be established.
     *
     * @param peer the peer
     */
    record PeerDisconnected(VmId peer) implements ServingEvent {}

    /**
     * The process has received the signal to shut down.
     *
     * @param requestedAt time of the signal; a process that is signalled during its startup reports it only after the
     *     startup
     */
    record DrainStarted(Instant requestedAt) implements ServingEvent {}

    /**
     * The wall clock has been set, or has gone on while this process was suspended.
     *
     * @param offset by how much the wall clock is now ahead of the steady time that comes with the events
     */
    record WallClockSet(Duration offset) implements ServingEvent {}

    /**
     * All answers are written and the process is closing its ports: no request that is read from now on may be
     * accepted.
     */
    record PortsClosing() implements ServingEvent {}
}
