package org.wagtaillug.daemon.routed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.daemon.tunnel.TunnelException;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.serving.SendEnd;
import org.wagtaillug.serving.SendOrder;
import org.wagtaillug.serving.UpstreamPath;

/**
 * Reads the answer to one attempt. A stream is forwarded event by event. Any other answer is forwarded only when it is
 * complete, so that an interrupted one can still be replaced by the answer of another upstream.
 */
final class UpstreamAnswer {
    /**
     * Limit of an answer that is buffered in memory, as every answer is that is not a stream; no service sends a longer
     * one.
     */
    private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

    /** The body of a rejection is dropped; its connection is kept only if it ends within these bounds. */
    private static final int MAX_REJECTION_BYTES = 64 * 1024;

    private static final Duration MAX_REJECTION_TIME = Duration.ofSeconds(1);

    private static final int FIRST_FAILURE = 300;
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_STATUS = 599;

    private final SendOrder order;
    private final RoutedExchange exchange;
    private final UpstreamTranslation translation;
    private final Listener listener;
    private final AnswerMemory memory;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter();
    private volatile boolean sent;
    private Meaning meaning = Meaning.NOTHING;
    private Optional<UpstreamNotice> notice = Optional.empty();
    private Optional<String> abortReason = Optional.empty();
    private boolean eventPassed;
    private int rejectionBytes;
    private long rejectedAtNanos;

    /** Receives the progress of an answer. */
    interface Listener {
        /** A successful stream has started. */
        void onStarted(Optional<UpstreamNotice> notice);

        /** The first complete event is about to be passed to the caller. */
        void onEventPassed();

        /** The attempt has ended. */
        void onEnded(SendEnd end, Optional<UpstreamNotice> notice);
    }

    private enum Meaning {
        NOTHING,
        NOT_RUN,
        FAILURE,
        WHOLE,
        STREAM
    }

    UpstreamAnswer(
            SendOrder order,
            RoutedExchange exchange,
            UpstreamTranslation translation,
            AnswerMemory memory,
            Listener listener) {
        this.memory = memory;
        this.order = order;
        this.exchange = exchange;
        this.translation = translation;
        this.listener = listener;
    }

    void onSent() {
        sent = true;
    }

    void onHeaders(Response response) {
        HttpFields head = response.getHeaders();
        int status = response.getStatus();
        if (status < FIRST_SUCCESS || status > LAST_STATUS) {
            abort(response, "the answer has status " + status + ", which no final answer of HTTP has");
            return;
        }
        Optional<String> answered = translation.answeredRequest(head);
        boolean ofAnotherRequest =
                answered.filter(id -> !id.equals(order.request().value())).isPresent();
        if (translation.notRun(status, head) && !ofAnotherRequest) {
            meaning = Meaning.NOT_RUN;
            notice = translation.notice(status, head);
            rejectedAtNanos = System.nanoTime();
            // The request can go elsewhere at once, whatever becomes of the body.
            listener.onEnded(new SendEnd.NotRun(status), notice);
            return;
        }
        if (answered.isEmpty() || ofAnotherRequest) {
            abort(response, "the answer belongs to request " + answered.orElse("(not specified)"));
            return;
        }
        boolean successful = status >= FIRST_SUCCESS && status < FIRST_FAILURE;
        if (!successful) {
            meaning = Meaning.FAILURE;
            notice = translation.notice(status, head);
            return;
        }
        if (!translation.authentic(head) || head.contains(HttpHeader.CONTENT_ENCODING)) {
            abort(response, "the answer does not come from the upstream itself");
            return;
        }
        if (!order.stream()) {
            meaning = Meaning.WHOLE;
            notice = translation.notice(status, head);
            return;
        }
        meaning = Meaning.STREAM;
        exchange.startAnswer(status, head);
        listener.onStarted(translation.notice(status, head));
    }

    private void abort(Response response, String reason) {
        abortReason = Optional.of(reason);
        response.abort(new IOException(reason));
    }

    void onContent(Response response, ByteBuffer content) {
        AnswerProgress.onContent(response);
        switch (meaning) {
            case STREAM -> {
                byte[] completeEvents = events.append(content);
                if (events.tooLong()) {
                    abort(response, "an event exceeds " + EventSplitter.MAX_EVENT_BYTES + " bytes");
                }
                if (completeEvents.length > 0) {
                    // Before the caller has the event, or it might take the stream up before any node knows of it.
                    reportFirstEvent();
                    exchange.write(completeEvents);
                }
            }
            case WHOLE, FAILURE -> {
                byte[] bytes = new byte[content.remaining()];
                content.get(bytes);
                if (buffered.size() + bytes.length > MAX_BUFFERED_BYTES
                        || !memory.tryGrow(buffered.size(), bytes.length)) {
                    abort(response, "the answer exceeds " + buffered.size() + " bytes");
                    return;
                }
                buffered.writeBytes(bytes);
            }
            case NOT_RUN -> {
                rejectionBytes += content.remaining();
                content.position(content.limit());
                boolean late = System.nanoTime() - rejectedAtNanos > MAX_REJECTION_TIME.toNanos();
                if (late || rejectionBytes > MAX_REJECTION_BYTES) {
                    abort(response, "the body of a rejection exceeds " + rejectionBytes + " bytes");
                }
            }
            case NOTHING -> content.position(content.limit());
        }
    }

    private void reportFirstEvent() {
        if (!eventPassed) {
            eventPassed = true;
            listener.onEventPassed();
        }
    }

    void onComplete(Result result) {
        if (meaning != Meaning.NOT_RUN) {
            listener.onEnded(end(result), notice);
        }
        memory.release(buffered.size());
    }

    private SendEnd end(Result result) {
        if (abortReason.isPresent()) {
            return new SendEnd.Broken(abortReason.get(), events.lastEventId());
        }
        if (!whole(result)) {
            return failureEnd(result.getFailure());
        }
        HttpFields head = result.getResponse().getHeaders();
        int status = result.getResponse().getStatus();
        return switch (meaning) {
            case FAILURE -> {
                exchange.keepFailure(new RoutedExchange.CompleteAnswer(status, head, buffered.toByteArray()));
                yield new SendEnd.Failed(status);
            }
            case WHOLE -> {
                exchange.forward(new RoutedExchange.CompleteAnswer(status, head, buffered.toByteArray()));
                yield new SendEnd.Passed(delimited(head));
            }
            case STREAM -> endOfStream(head);
            case NOT_RUN, NOTHING -> new SendEnd.Broken("no answer", events.lastEventId());
        };
    }

    /**
     * Whether an answer was received to its end. The end of a connection says so only if the request was written without a
     * failure: a write that fails takes the error of the connection, so that the next read finds an orderly end.
     */
    static boolean whole(Result result) {
        if (result.getResponseFailure() != null || result.getResponse().getStatus() == 0) {
            return false;
        }
        return result.getRequestFailure() == null
                || delimited(result.getResponse().getHeaders());
    }

    private static boolean delimited(HttpFields head) {
        return head.contains(HttpHeader.CONTENT_LENGTH) || head.contains(HttpHeader.TRANSFER_ENCODING);
    }

    private SendEnd endOfStream(HttpFields head) {
        if (!events.atBoundary()) {
            return new SendEnd.Broken("the stream ended in the middle of an event", events.lastEventId());
        }
        exchange.end();
        return new SendEnd.Passed(delimited(head));
    }

    private SendEnd failureEnd(Throwable cause) {
        if (cause instanceof CancellationException) {
            return new SendEnd.GivenUp();
        }
        String reason = FailureText.of(cause);
        if (!sent && order.path() instanceof UpstreamPath.ThroughPeer) {
            boolean upstreamFailed = cause instanceof TunnelException tunnel && tunnel.upstreamUnreachable();
            return upstreamFailed ? new SendEnd.Unsent(reason) : new SendEnd.NoPath(reason);
        }
        return sent ? new SendEnd.Broken(reason, events.lastEventId()) : new SendEnd.Unsent(reason);
    }
}
