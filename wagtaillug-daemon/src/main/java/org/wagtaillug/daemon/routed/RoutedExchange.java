package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.serving.RoutedRequest;

/**
 * An open exchange with a caller: its request and its single answer. Thread-safe. Writes one buffer at a time; data
 * that arrives in the meantime is written together with the next buffer.
 */
final class RoutedExchange {
    /** The content type of {@link #text}. */
    static final String REFUSAL_TYPE = "text/plain";

    private static final Logger LOGGER = System.getLogger(RoutedExchange.class.getName());

    private static final Refusal INCOMPLETE =
            Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, "the answer ended before its first event");

    private final RoutedRequest routed;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final CallerConnections connections;
    private final Function<Refusal, HttpFields> refusalHead;
    private final ExchangeBytes bytes;
    private final PendingBytes pending = new PendingBytes();
    private Optional<Runnable> onDisconnect = Optional.empty();
    private Optional<CallerWatch> watch = Optional.empty();
    private Optional<CompleteAnswer> failure = Optional.empty();
    private boolean started;
    private boolean delimited = true;
    private boolean writing;
    private boolean bodyStarted;
    private boolean complete;
    private boolean closed;
    private boolean inWriteLoop;
    private boolean attempted;
    private boolean ended;
    private boolean requestCompleted;

    /**
     * A complete answer in memory.
     *
     * @param status its status
     * @param head its headers
     * @param body its body
     */
    record CompleteAnswer(int status, HttpFields head, byte[] body) {}

    /** Creates an exchange whose bytes are counted by the given limits. */
    RoutedExchange(
            RoutedRequest routed,
            Request request,
            Response response,
            Callback callback,
            byte[] body,
            CallerConnections connections,
            Function<Refusal, HttpFields> refusalHead,
            ReaderLimits limits) {
        this.routed = routed;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
        this.connections = connections;
        this.refusalHead = refusalHead;
        this.bytes = limits.open(routed.id(), this::endUnread);
    }

    RoutedRequest routed() {
        return routed;
    }

    String method() {
        return request.getMethod();
    }

    String path() {
        return request.getHttpURI().getPathQuery();
    }

    HttpFields head() {
        return request.getHeaders();
    }

    byte[] body() {
        return body;
    }

    ExchangeBytes bytes() {
        return bytes;
    }

    /**
     * Runs {@code callerDisconnected} when the caller closes its connection before its answer is complete, or when the
     * exchange is ended because its readers are slow.
     */
    void watch(Runnable callerDisconnected) {
        boolean endedBefore;
        synchronized (this) {
            onDisconnect = Optional.of(callerDisconnected);
            endedBefore = ended;
            if (!closed && !complete) {
                watch = Optional.of(CallerWatch.start(request, callerDisconnected));
            }
        }
        if (endedBefore) {
            callerDisconnected.run();
        }
        if (body.length > 0) {
            bytes.addBody(body.length);
        }
    }

    /** Starts an attempt at an upstream; returns false if the exchange has been ended, so that nothing may be sent. */
    synchronized boolean startAttempt() {
        if (ended) {
            return false;
        }
        if (attempted) {
            bytes.onBodyRestarted();
        }
        attempted = true;
        return true;
    }

    /** Keeps an upstream's failure response, which may be forwarded later. */
    synchronized void keepFailure(CompleteAnswer answer) {
        failure = Optional.of(answer);
        bytes.keep(answer.body().length);
    }

    /** Forwards the failure response that was kept; returns false if there is none. */
    boolean forwardFailure() {
        Optional<CompleteAnswer> kept;
        synchronized (this) {
            kept = failure;
            failure = Optional.empty();
            bytes.keep(0);
        }
        kept.ifPresent(this::forward);
        return kept.isPresent();
    }

    /** Forwards a complete answer. */
    synchronized void forward(CompleteAnswer answer) {
        startAnswer(answer.status(), answer.head(), answer.body().length);
        writeLast(answer.body());
    }

    /** Whether the header of an answer was sent. */
    synchronized boolean started() {
        return started;
    }

    /** Sends the header of an answer whose body follows in parts; does nothing if a header was sent already. */
    synchronized void startAnswer(int status, HttpFields head) {
        startAnswer(status, head, -1);
    }

    private void startAnswer(int status, HttpFields head, long length) {
        if (started || closed) {
            return;
        }
        started = true;
        response.setStatus(status);
        response.getHeaders().add(ConnectionHeaders.forwardable(head));
        connections.addCloseHeader(response);
        if (length >= 0) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
            return;
        }
        if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            // On a connection that is about to close, the server would otherwise send no length, and a truncated answer
            // would look complete to the caller.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
            return;
        }
        delimited = false;
    }

    /** Sends a part of the body. */
    synchronized void write(byte[] part) {
        if (complete || closed) {
            return;
        }
        pending.add(part, maxPart());
        bytes.addAnswer(part.length);
        writeNext();
    }

    /** Sends the rest of the body in one write: a caller that has the whole answer may send its next request at once. */
    private void writeLast(byte[] rest) {
        if (complete || closed) {
            return;
        }
        pending.add(rest, maxPart());
        bytes.addAnswer(rest.length);
        complete = true;
        writeNext();
    }

    /** Completes the answer. */
    synchronized void end() {
        if (complete || closed) {
            return;
        }
        complete = true;
        writeNext();
    }

    /**
     * Closes the connection, as the answer has started and must not look complete. An answer that is complete in memory
     * is still written: its attempt ended at the moment when the decision to cut it was made. A caller that has not
     * received a byte of it yet is refused with the information that its request may have been executed.
     */
    void cut() {
        synchronized (this) {
            if (closed || complete) {
                return;
            }
            if (started && !bodyStarted) {
                response.reset();
                started = false;
                writeRefusal(INCOMPLETE);
                return;
            }
            closed = true;
            stopWatch();
            if (started && !delimited) {
                resetAtClose();
            }
        }
        fail(new IOException("the upstream did not complete its answer"));
    }

    /**
     * Ends the exchange because too much is held for its readers. An answer that has started is truncated, also one that
     * is complete in memory, and its connection reset, which discards what the system holds for it. Otherwise the request
     * is refused, as not run only if it was never sent to an upstream.
     */
    private void endUnread() {
        Optional<Runnable> disconnected;
        boolean refused;
        boolean writingLast;
        synchronized (this) {
            if (requestCompleted) {
                return;
            }
            ended = true;
            disconnected = onDisconnect;
            writingLast = closed;
            refused = !closed && refuseUnread();
            if (!refused) {
                closed = true;
                pending.clear();
                stopWatch();
                resetAtClose();
            }
        }
        if (!refused) {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            if (!writingLast) {
                fail(new IOException("the answer was read too slowly"));
            }
        }
        disconnected.ifPresent(Runnable::run);
    }

    /** Refuses the request unless the caller may have received a byte of its answer. */
    private boolean refuseUnread() {
        if (started && !bodyStarted) {
            response.reset();
            started = false;
        }
        String message = "the node holds too much for slow readers";
        return writeRefusal(
                attempted
                        ? Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, message)
                        : Refusal.notRun(ResultCode.OVERLOADED, Duration.ZERO, message));
    }

    /**
     * The end of the body is marked by the end of the connection; after an orderly close a truncated body would look
     * complete, so the connection is reset.
     */
    private void resetAtClose() {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint.getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException disconnected) {
                LOGGER.log(
                        Level.DEBUG,
                        "the caller of {0} disconnected before its answer was cut: {1}",
                        routed.id(),
                        disconnected);
            }
        }
    }

    /**
     * Closes the connection of a caller that has disconnected. No answer will ever complete its exchange, and the
     * server would keep the socket until the process ends.
     */
    void abandon() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            stopWatch();
        }
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        fail(new IOException("the caller disconnected"));
    }

    /** Sends a refusal as the final answer. */
    void refuse(Refusal refusal) {
        if (!writeRefusal(refusal)) {
            // Adding the refusal to the body would end the answer as if it were complete.
            cut();
        }
    }

    /** Writes a refusal unless an answer has started, which another thread may do at any moment. */
    private synchronized boolean writeRefusal(Refusal refusal) {
        if (started) {
            return false;
        }
        byte[] text = text(refusal);
        HttpFields.Mutable fields =
                HttpFields.build(refusalHead.apply(refusal)).put(HttpHeader.CONTENT_TYPE, REFUSAL_TYPE);
        startAnswer(refusal.code().status(), fields, text.length);
        writeLast(text);
        return true;
    }

    /** The body of a refusal: the numeric code and a message. */
    static byte[] text(Refusal refusal) {
        return (refusal.code().number() + " " + refusal.message() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void stopWatch() {
        watch.ifPresent(CallerWatch::stop);
        watch = Optional.empty();
    }

    /** Writes part after part; a loop, as writes that complete at once would otherwise nest. */
    private void writeNext() {
        if (inWriteLoop) {
            return;
        }
        inWriteLoop = true;
        try {
            while (!writing && !closed && (complete || !pending.isEmpty())) {
                writePart(pending.take(maxPart()));
            }
        } finally {
            inWriteLoop = false;
        }
    }

    private int maxPart() {
        return bytes.limited() ? HeldBytes.PART_BYTES : Integer.MAX_VALUE;
    }

    private void writePart(byte[] part) {
        writing = true;
        bodyStarted = true;
        boolean last = complete && pending.isEmpty();
        if (last) {
            // The server reads the next request once the last byte is written; the watch must not read it first.
            closed = true;
            stopWatch();
        }
        response.write(last, ByteBuffer.wrap(part), Callback.from(() -> written(last, part.length), this::failed));
    }

    private void written(boolean last, int length) {
        bytes.onAnswerRead(length);
        if (last) {
            synchronized (this) {
                requestCompleted = true;
            }
            bytes.close();
            callback.succeeded();
            return;
        }
        synchronized (this) {
            writing = false;
            writeNext();
        }
    }

    private void failed(Throwable cause) {
        synchronized (this) {
            closed = true;
            stopWatch();
        }
        fail(cause);
    }

    /** Completes the request as failed, once. */
    private void fail(Throwable cause) {
        synchronized (this) {
            if (requestCompleted) {
                return;
            }
            requestCompleted = true;
            pending.clear();
        }
        bytes.close();
        callback.failed(cause);
    }
}
