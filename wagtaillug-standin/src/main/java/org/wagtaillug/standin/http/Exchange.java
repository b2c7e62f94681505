package org.wagtaillug.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * One call and its answer. Any thread may answer at any time, in one piece or as a stream of parts. Applies the answer
 * faults, so that stand-ins need no code for them. Thread-safe; no method blocks.
 */
public final class Exchange {
    private static final int PROBE_BYTES = 64;

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final EndPoint endPoint;
    private final ActiveFaults activeFaults;
    private final Timers timers;
    private final byte[] body;
    private final List<Runnable> closeListeners = new ArrayList<>();
    private final Deque<ByteBuffer> parts = new ArrayDeque<>();
    private AnswerFault answerFault = AnswerFault.NONE;
    private boolean committed;
    private boolean writing;
    private boolean ending;
    private boolean finished;
    private boolean disconnected;
    private int partsLeftUntilCut;

    Exchange(
            Request request,
            Response response,
            Callback callback,
            byte[] body,
            ActiveFaults activeFaults,
            Timers timers) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        this.activeFaults = activeFaults;
        this.timers = timers;
        this.body = body;
    }

    /** Returns the HTTP method in upper case. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the path without the query. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns the non-empty segments of the path. */
    public List<String> segments() {
        List<String> segments = new ArrayList<>();
        for (String segment : path().split("/")) {
            if (!segment.isEmpty()) {
                segments.add(segment);
            }
        }
        return segments;
    }

    /** Returns a request header, if present. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Returns a query parameter, if present. */
    public Optional<String> query(String name) {
        Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    /** Returns the request body; empty if there is none. */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the ids for the answer: those of the request, or those of another request if {@link AnswerFault#WRONG}
     * applies.
     */
    public RequestIds ids(RequestIds own) {
        return answerFault == AnswerFault.WRONG ? own.ofOtherRequest() : own;
    }

    /** Runs a task on a timer thread if the caller closes the connection before the answer is complete. */
    public synchronized void onClosed(Runnable listener) {
        if (disconnected) {
            timers.execute(listener);
            return;
        }
        closeListeners.add(listener);
    }

    /** Sends a JSON error. */
    public void refuse(int status, String error) {
        answer(status, new ErrorAnswer(error));
    }

    /** Sends a JSON message. */
    public void answer(int status, Object message) {
        answer(status, "application/json", Json.write(message));
    }

    /** Sends bytes as the answer; a second answer is ignored. */
    public synchronized void answer(int status, String contentType, byte[] content) {
        if (finished || committed || ending) {
            return;
        }
        if (suppressesAnswer()) {
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        committed = true;
        if (answerFault == AnswerFault.CUT) {
            parts.add(ByteBuffer.wrap(content, 0, content.length / 2));
            partsLeftUntilCut = 0;
            flush();
            return;
        }
        parts.add(ByteBuffer.wrap(content));
        ending = true;
        flush();
    }

    /** Closes the connection after the answer to this call. */
    public void closeAfterwards() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /**
     * Starts an answer that is written in parts.
     *
     * @param contentType the media type
     * @param length the total length in bytes, negative if unknown
     * @param expectedParts the expected number of parts; {@link AnswerFault#CUT} ends the answer after half of them
     */
    public synchronized void openStream(String contentType, long length, int expectedParts) {
        if (finished || suppressesAnswer()) {
            return;
        }
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        if (length >= 0) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
        }
        partsLeftUntilCut = expectedParts / 2;
        committed = true;
    }

    /** Writes one part of a streamed answer as UTF-8. */
    public void write(String part) {
        write(part.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes one part of a streamed answer. */
    public synchronized void write(byte[] part) {
        if (finished || !committed || ending || suppressesAnswer()) {
            return;
        }
        if (answerFault == AnswerFault.CUT) {
            if (partsLeftUntilCut <= 0) {
                return;
            }
            partsLeftUntilCut--;
        }
        parts.add(ByteBuffer.wrap(part));
        flush();
    }

    /** Returns the number of parts that have not yet been written to the network. */
    public synchronized int pendingParts() {
        return parts.size();
    }

    /** Ends a streamed answer. */
    public synchronized void end() {
        if (finished || !committed || suppressesAnswer()) {
            return;
        }
        if (answerFault == AnswerFault.CUT) {
            partsLeftUntilCut = 0;
        } else {
            ending = true;
        }
        flush();
    }

    /** Writes the last part and ends the answer in a single network write. */
    public synchronized void end(byte[] lastPart) {
        boolean wasWriting = writing;
        writing = true;
        write(lastPart);
        writing = wasWriting;
        end();
    }

    /** Answers 503, or aborts the connection if the answer has already started. */
    public void fail(String error) {
        boolean started;
        synchronized (this) {
            started = committed;
        }
        if (started) {
            abort();
            return;
        }
        refuse(503, error);
    }

    /** Aborts the connection; a silenced connection stays open. */
    public synchronized void abort() {
        if (finished || activeFaults.isSilenced(endPoint)) {
            return;
        }
        finished = true;
        parts.clear();
        endPoint.close();
        callback.failed(new EofException("connection aborted"));
    }

    EndPoint endPoint() {
        return endPoint;
    }

    synchronized void injectFault(AnswerFault fault) {
        answerFault = fault;
    }

    synchronized boolean isFinished() {
        return finished;
    }

    /**
     * Checks whether the caller has closed the connection. Jetty does not read from a connection until its answer is
     * complete, so a caller that disconnects while its request is queued would go unnoticed and its slot would stay
     * occupied. A caller sends nothing between the end of the request and the end of the answer, so this read consumes no
     * request data.
     */
    synchronized void detectDisconnect() {
        if (finished || writing || disconnected) {
            return;
        }
        try {
            ByteBuffer buffer = BufferUtil.allocate(PROBE_BYTES);
            if (endPoint.isOpen() && endPoint.fill(buffer) >= 0) {
                return;
            }
        } catch (IOException reset) {
            // A connection reset surfaces as an I/O error; treat it as closed.
        }
        onDisconnected(new EofException("connection closed by the caller"));
    }

    private boolean suppressesAnswer() {
        return answerFault == AnswerFault.LOST || activeFaults.isSilenced(endPoint);
    }

    private synchronized void flush() {
        if (writing || finished) {
            return;
        }
        if (parts.isEmpty() && answerFault == AnswerFault.CUT && partsLeftUntilCut <= 0) {
            abort();
            return;
        }
        if (parts.isEmpty() && !ending) {
            return;
        }
        ByteBuffer buffer = drainParts();
        boolean last = ending;
        writing = true;
        if (last) {
            finished = true;
        }
        response.write(last, buffer, Callback.from(() -> written(last), this::writeFailed));
    }

    private ByteBuffer drainParts() {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        ByteBuffer buffer = ByteBuffer.allocate(length);
        for (ByteBuffer part : parts) {
            buffer.put(part);
        }
        parts.clear();
        return buffer.flip();
    }

    private void written(boolean last) {
        if (last) {
            callback.succeeded();
            return;
        }
        synchronized (this) {
            writing = false;
        }
        flush();
    }

    private synchronized void writeFailed(Throwable cause) {
        writing = false;
        onDisconnected(cause);
    }

    private void onDisconnected(Throwable cause) {
        if (disconnected) {
            return;
        }
        disconnected = true;
        finished = true;
        parts.clear();
        for (Runnable listener : closeListeners) {
            timers.execute(listener);
        }
        endPoint.close();
        callback.failed(cause);
    }
}
