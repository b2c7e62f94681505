package org.wagtaillug.daemon.routed;

import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being processed.
 *
 * <p>The server does not read from a connection between a complete request and its answer. It would detect the
 * disconnect only when a write fails, and upstreams would keep working on a request that nobody waits for. The watch
 * therefore reads ahead in the meantime. Behind more than {@link CallerEndPoint#MAX_READ_AHEAD_BYTES} of pipelined
 * requests, a disconnect is not detected.
 *
 * <p>It must be stopped before the last byte of the answer is written, because the server reads again from then on.
 */
final class CallerWatch implements Callback {
    private final CallerEndPoint endPoint;
    private final Runnable onDisconnect;
    private boolean watching = true;

    private CallerWatch(CallerEndPoint endPoint, Runnable onDisconnect) {
        this.endPoint = endPoint;
        this.onDisconnect = onDisconnect;
    }

    /** Starts watching the connection of a request whose body has been read; {@code onDisconnect} runs at most once. */
    static CallerWatch start(Request request, Runnable onDisconnect) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (!(endPoint instanceof CallerEndPoint callerEndPoint)) {
            throw new IllegalStateException("a connection of type " + endPoint.getClass() + " cannot be watched");
        }
        CallerWatch watch = new CallerWatch(callerEndPoint, onDisconnect);
        callerEndPoint.pauseServer(true);
        callerEndPoint.tryFillInterested(watch);
        return watch;
    }

    /** Stops the watch, so that the server may read again. */
    void stop() {
        synchronized (this) {
            endPoint.pauseServer(false);
            if (!watching) {
                return;
            }
            watching = false;
        }
        endPoint.getFillInterest().onFail(new CancellationException("the watch was stopped"));
    }

    @Override
    public void succeeded() {
        if (readDisconnect()) {
            onDisconnect.run();
        }
    }

    /** Reads what has arrived; returns whether the caller has disconnected. */
    private synchronized boolean readDisconnect() {
        if (!watching) {
            return false;
        }
        return switch (endPoint.readAhead()) {
            case OPEN -> {
                endPoint.tryFillInterested(this);
                yield false;
            }
            case FULL -> false;
            case CLOSED -> {
                watching = false;
                yield true;
            }
        };
    }

    @Override
    public void failed(Throwable cause) {
        boolean connectionFailed;
        synchronized (this) {
            connectionFailed = watching && !(cause instanceof CancellationException);
            watching = watching && !connectionFailed;
        }
        if (connectionFailed) {
            onDisconnect.run();
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
