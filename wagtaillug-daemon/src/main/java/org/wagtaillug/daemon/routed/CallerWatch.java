package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being processed.
 *
 * <p>The server does not read from a connection between a complete request and its answer. It would detect the
 * disconnect only when a write fails, and upstreams would keep working on a request that nobody waits for. The watch
 * therefore reads the connection itself in the meantime, and hands the bytes of a pipelined request back to the server.
 * It must be stopped before the last byte of the answer is written, because the server reads again from then on.
 */
final class CallerWatch implements Callback {
    private static final int PIPELINED_BYTES = 16_384;

    private final Connection connection;
    private final AbstractEndPoint endPoint;
    private final Runnable onDisconnect;
    private boolean watching = true;

    private CallerWatch(Connection connection, AbstractEndPoint endPoint, Runnable onDisconnect) {
        this.connection = connection;
        this.endPoint = endPoint;
        this.onDisconnect = onDisconnect;
    }

    /** Starts watching the connection of a request whose body has been read; {@code onDisconnect} runs at most once. */
    static CallerWatch start(Request request, Runnable onDisconnect) {
        Connection connection = request.getConnectionMetaData().getConnection();
        EndPoint endPoint = connection.getEndPoint();
        if (!(endPoint instanceof AbstractEndPoint abstractEndPoint)) {
            throw new IllegalStateException("a connection of type " + endPoint.getClass() + " cannot be watched");
        }
        CallerWatch watch = new CallerWatch(connection, abstractEndPoint, onDisconnect);
        abstractEndPoint.tryFillInterested(watch);
        return watch;
    }

    /** Stops the watch, so that the server may read again. */
    void stop() {
        synchronized (this) {
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

    /** Reads available bytes; returns whether the caller has disconnected. */
    private synchronized boolean readDisconnect() {
        if (!watching) {
            return false;
        }
        ByteBuffer pipelined = BufferUtil.allocate(PIPELINED_BYTES);
        int filled = fill(pipelined);
        if (filled < 0) {
            watching = false;
            return true;
        }
        if (filled == 0) {
            endPoint.tryFillInterested(this);
            return false;
        }
        watching = false;
        if (connection instanceof Connection.UpgradeTo upgradable) {
            upgradable.onUpgradeTo(pipelined);
        }
        return false;
    }

    private int fill(ByteBuffer buffer) {
        try {
            return endPoint.fill(buffer);
        } catch (IOException reset) {
            return -1;
        }
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
