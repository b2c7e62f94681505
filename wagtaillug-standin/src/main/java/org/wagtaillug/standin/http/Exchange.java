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
 * One call and its answer, which any thread may give at any time, whole or as a stream of parts. Shows the faults on
 * answers, so that the stand-ins themselves need not know of them. All methods are safe from all threads and none blocks.
 */
public final class Exchange {
    private static final int PEEK_BYTES = 64;

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final EndPoint endPoint;
    private final FaultGate faults;
    private final Timers timers;
    private final byte[] body;
    private final List<Runnable> closeListeners = new ArrayList<>();
    private final Deque<ByteBuffer> parts = new ArrayDeque<>();
    private AnswerFault answerFault = AnswerFault.NONE;
    private boolean committed;
    private boolean writing;
    private boolean ending;
    private boolean finished;
    private boolean peerGone;
    private int partsLeftUntilCut;

    Exchange(Request request, Response response, Callback callback, byte[] body, FaultGate faults, Timers timers) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        this.faults = faults;
        this.timers = timers;
        this.body = body;
    }

    /** Returns the method in capitals. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the path without the query. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns the parts of the path between its slashes. */
    public List<String> segments() {
        List<String> segments = new ArrayList<>();
        for (String segment : path().split("/")) {
            if (!segment.isEmpty()) {
                segments.add(segment);
            }
        }
        return segments;
    }

    /** Returns a header, if sent. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Returns a query parameter, if sent. */
    public Optional<String> query(String name) {
        Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    /** Returns the body; empty when none was sent. */
    public byte[] body() {
        return body;
    }

    /** Returns the ids that the answer has to carry: the request's own, or another's under that fault. */
    public RequestIds ids(RequestIds own) {
        return answerFault == AnswerFault.WRONG ? own.ofAnother() : own;
    }

    /** Runs a task on a timer thread when the caller has closed the connection before the answer's end. */
    public synchronized void onClosed(Runnable listener) {
        if (peerGone) {
            timers.execute(listener);
            return;
        }
        closeListeners.add(listener);
    }

    /** Answers a JSON error. */
    public void refuse(int status, String error) {
        answer(status, new ErrorAnswer(error));
    }

    /** Answers with a JSON message. */
    public void answer(int status, Object message) {
        answer(status, "application/json", Json.write(message));
    }

    /** Answers with bytes; a second answer is ignored. */
    public synchronized void answer(int status, String contentType, byte[] content) {
        if (finished || committed || ending) {
            return;
        }
        if (isMute()) {
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        committed = true;
        if (answerFault == AnswerFault.CUT) {
            parts.add(ByteBuffer.wrap(content, 0, content.length / 2));
            partsLeftUntilCut = 0;
            pump();
            return;
        }
        parts.add(ByteBuffer.wrap(content));
        ending = true;
        pump();
    }

    /** Closes the connection after the answer to this call. */
    public void closeAfterwards() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /**
     * Begins an answer that is written in parts.
     *
     * @param contentType the media type
     * @param length the whole length in bytes, or below 0 when unknown
     * @param expectedParts how many parts will come; under the fault the answer ends after half of them
     */
    public synchronized void openStream(String contentType, long length, int expectedParts) {
        if (finished || isMute()) {
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

    /** Writes one part as UTF-8. */
    public void write(String part) {
        write(part.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes one part. */
    public synchronized void write(byte[] part) {
        if (finished || !committed || ending || isMute()) {
            return;
        }
        if (answerFault == AnswerFault.CUT) {
            if (partsLeftUntilCut <= 0) {
                return;
            }
            partsLeftUntilCut--;
        }
        parts.add(ByteBuffer.wrap(part));
        pump();
    }

    /** Returns how many parts wait for the network. */
    public synchronized int waitingParts() {
        return parts.size();
    }

    /** Ends an answer that was written in parts. */
    public synchronized void end() {
        if (finished || !committed || isMute()) {
            return;
        }
        if (answerFault == AnswerFault.CUT) {
            partsLeftUntilCut = 0;
        } else {
            ending = true;
        }
        pump();
    }

    /** Writes the last part and ends the answer, in one step. */
    public synchronized void end(byte[] lastPart) {
        boolean held = writing;
        writing = true;
        write(lastPart);
        writing = held;
        end();
    }

    /** Answers 503, or breaks the connection off when the answer has begun. */
    public void fail(String error) {
        boolean begun;
        synchronized (this) {
            begun = committed;
        }
        if (begun) {
            abort();
            return;
        }
        refuse(503, error);
    }

    /** Breaks the connection off; a silenced connection stays open. */
    public synchronized void abort() {
        if (finished || faults.isSilenced(endPoint)) {
            return;
        }
        finished = true;
        parts.clear();
        endPoint.close();
        callback.failed(new EofException("broken off"));
    }

    EndPoint endPoint() {
        return endPoint;
    }

    synchronized void spoil(AnswerFault fault) {
        answerFault = fault;
    }

    synchronized boolean isFinished() {
        return finished;
    }

    /**
     * Looks whether the caller has closed the connection. Jetty reads no more from a connection until its answer is
     * complete, so a caller that gives up while its request waits would go unseen and its slot stay taken. Between the
     * request's last byte and the answer's last byte a caller sends nothing, so that the read takes nothing away.
     */
    synchronized void lookForClose() {
        if (finished || writing || peerGone) {
            return;
        }
        try {
            ByteBuffer buffer = BufferUtil.allocate(PEEK_BYTES);
            if (endPoint.isOpen() && endPoint.fill(buffer) >= 0) {
                return;
            }
        } catch (IOException broken) {
            // A reset connection reads as an error: gone as well.
        }
        peerGone(new EofException("the caller has closed the connection"));
    }

    private boolean isMute() {
        return answerFault == AnswerFault.LOST || faults.isSilenced(endPoint);
    }

    private synchronized void pump() {
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
        ByteBuffer buffer = gathered();
        boolean last = ending;
        writing = true;
        if (last) {
            finished = true;
        }
        response.write(last, buffer, Callback.from(() -> written(last), this::writeFailed));
    }

    private ByteBuffer gathered() {
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
        pump();
    }

    private synchronized void writeFailed(Throwable cause) {
        writing = false;
        peerGone(cause);
    }

    private void peerGone(Throwable cause) {
        if (peerGone) {
            return;
        }
        peerGone = true;
        finished = true;
        parts.clear();
        for (Runnable listener : closeListeners) {
            timers.execute(listener);
        }
        endPoint.close();
        callback.failed(cause);
    }
}
