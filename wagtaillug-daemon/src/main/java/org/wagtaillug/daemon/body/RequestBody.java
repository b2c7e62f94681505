package org.wagtaillug.daemon.body;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Receives the body of a request without blocking. The reception ends once: with the whole body, or with the reason for
 * which the request is refused.
 *
 * <p>When a request is refused while its body is still being sent, the rest of the body is read and discarded, see
 * {@link RefusedBody}.
 *
 * <pre>{@code
 * RequestBody body = new RequestBody(
 *         request, callback, maxBytes, memory, (self, end, completion) -> answer(end, completion));
 * body.receive();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class RequestBody {
    private final Request request;
    private final Callback callback;
    private final int maxBytes;
    private final Listener listener;
    private final RefusedBody refusedBody;
    private final BodyBuffer received;
    private final List<Scheduler.Task> timeouts = new ArrayList<>();
    private boolean reading;
    private boolean ended;

    /** Receives the end of a reception, once. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Handles the end.
         *
         * @param body the body whose reception has ended
         * @param end how it ended
         * @param completion to be completed when the answer to the request is written
         */
        void onEnd(RequestBody body, BodyEnd end, Callback completion);
    }

    /**
     * Creates the reception of a body; nothing is read before {@link #receive}.
     *
     * @param callback completes the request
     * @param maxBytes the maximum length of the body
     * @param memory the memory of all bodies; the part of this one is released when the request is completed
     */
    public RequestBody(Request request, Callback callback, int maxBytes, BodyMemory memory, Listener listener) {
        this.request = request;
        this.callback = callback;
        this.maxBytes = maxBytes;
        this.listener = listener;
        this.refusedBody = new RefusedBody(callback, request.getComponents().getScheduler());
        BodyMemory.Reservation reservation = memory.open();
        this.received = new BodyBuffer(reservation, request.getLength());
        Request.addCompletionListener(request, failure -> reservation.close());
    }

    /**
     * Returns the callback to complete when the refusal of a request is written whose body is not received at all. The
     * body is then read and discarded before the request is completed.
     */
    public static Callback discard(Request request, Callback callback) {
        RequestBody body = new RequestBody(request, callback, 0, new BodyMemory(0), (self, end, completion) -> {});
        body.ended = true;
        return body.refusalWritten();
    }

    /** Starts receiving. A request whose declared length is too long, or has no room, is refused before its body is read. */
    public void receive() {
        if (request.getLength() > maxBytes) {
            end(new BodyEnd.TooLong());
            return;
        }
        if (!received.reserveDeclared()) {
            end(new BodyEnd.NoMemory());
            return;
        }
        startReading();
    }

    /** Ends the reception for the given reason if it is not complete after a time. */
    public void endAfter(Duration timeout, BodyEnd reason) {
        if (hasEnded()) {
            return;
        }
        Scheduler.Task task = request.getComponents()
                .getScheduler()
                .schedule(() -> end(reason), timeout.toNanos(), TimeUnit.NANOSECONDS);
        synchronized (this) {
            if (!ended) {
                timeouts.add(task);
                return;
            }
        }
        task.cancel();
    }

    /** Ends the reception for a reason other than the whole body; does nothing if it has ended. */
    public void end(BodyEnd reason) {
        if (markEnded()) {
            received.discard();
            listener.onEnd(this, reason, refusalWritten());
        }
    }

    private Callback refusalWritten() {
        return Callback.from(this::onRefusalWritten, refusedBody::onWriteFailed);
    }

    private boolean markEnded() {
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
        }
        timeouts.forEach(Scheduler.Task::cancel);
        return true;
    }

    private synchronized boolean hasEnded() {
        return ended;
    }

    /** Reading starts only now if the length was declared: a caller that waits for "100 Continue" sends no body. */
    private void onRefusalWritten() {
        refusedBody.onWritten();
        startReading();
    }

    private void startReading() {
        synchronized (this) {
            if (reading) {
                return;
            }
            reading = true;
        }
        read();
    }

    private void read() {
        Content.Chunk chunk = request.read();
        while (chunk != null) {
            boolean failed = Content.Chunk.isFailure(chunk);
            boolean last = failed || chunk.isLast();
            if (!failed) {
                append(chunk.getByteBuffer());
                chunk.release();
            }
            if (last) {
                onSendingEnded(failed);
                return;
            }
            chunk = request.read();
        }
        request.demand(Invocable.from(Invocable.InvocationType.NON_BLOCKING, this::read));
    }

    private void append(ByteBuffer bytes) {
        if (hasEnded()) {
            return;
        }
        if (received.length() + bytes.remaining() > maxBytes) {
            end(new BodyEnd.TooLong());
            return;
        }
        if (!received.append(bytes)) {
            end(new BodyEnd.NoMemory());
        }
    }

    private void onSendingEnded(boolean failed) {
        if (failed) {
            end(new BodyEnd.Incomplete());
        }
        if (!failed && markEnded()) {
            listener.onEnd(this, new BodyEnd.Received(received.takeBytes()), callback);
            return;
        }
        refusedBody.onBodyEnded();
    }
}
