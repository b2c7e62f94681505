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
 * Notices that a caller closes its connection while its request is being worked on.
 *
 * <p>The server does not read from a connection between a whole request and its answer, so it would notice only when a
 * write fails, and upstreams would go on working for nobody. Watching reads the connection itself meanwhile, and gives
 * back what it reads if a caller sends its next request early. It must end before the last byte of the answer goes out:
 * after it the server reads again.
 */
final class CallerWatch implements Callback {
    private static final int EARLY_BYTES = 16_384;

    private final Connection connection;
    private final AbstractEndPoint endPoint;
    private final Runnable gone;
    private boolean watching = true;

    private CallerWatch(Connection connection, AbstractEndPoint endPoint, Runnable gone) {
        this.connection = connection;
        this.endPoint = endPoint;
        this.gone = gone;
    }

    /** Begins to watch the connection of a request whose body has been read; {@code gone} runs at most once. */
    static CallerWatch begin(Request request, Runnable gone) {
        Connection connection = request.getConnectionMetaData().getConnection();
        EndPoint endPoint = connection.getEndPoint();
        if (!(endPoint instanceof AbstractEndPoint plain)) {
            throw new IllegalStateException("a connection of type " + endPoint.getClass() + " cannot be watched");
        }
        CallerWatch watch = new CallerWatch(connection, plain, gone);
        plain.tryFillInterested(watch);
        return watch;
    }

    /** Ends the watch; from now on the server may read. */
    void end() {
        synchronized (this) {
            if (!watching) {
                return;
            }
            watching = false;
        }
        endPoint.getFillInterest().onFail(new CancellationException("the watch has ended"));
    }

    @Override
    public void succeeded() {
        if (readable()) {
            gone.run();
        }
    }

    /** Whether the caller is gone. */
    private synchronized boolean readable() {
        if (!watching) {
            return false;
        }
        ByteBuffer early = BufferUtil.allocate(EARLY_BYTES);
        int filled = fill(early);
        if (filled < 0) {
            watching = false;
            return true;
        }
        if (filled == 0) {
            endPoint.tryFillInterested(this);
            return false;
        }
        watching = false;
        if (connection instanceof Connection.UpgradeTo reader) {
            reader.onUpgradeTo(early);
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
        boolean broke;
        synchronized (this) {
            broke = watching && !(cause instanceof CancellationException);
            watching = watching && !broke;
        }
        if (broke) {
            gone.run();
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
