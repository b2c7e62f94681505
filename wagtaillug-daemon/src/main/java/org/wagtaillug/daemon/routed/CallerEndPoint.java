package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that can be read ahead while the server does not read. The server later reads the same bytes, in
 * order and before those that are still in the socket, whatever the size of its own buffer.
 *
 * <p>Thread-safe.
 */
final class CallerEndPoint extends SocketChannelEndPoint {
    /** Bytes that are read ahead of the server; more stay in the socket. */
    static final int MAX_READ_AHEAD_BYTES = 16_384;

    private final Executor executor;
    private final Object readLock = new Object();
    private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;
    private volatile boolean paused;

    /** The state of a connection after reading ahead. */
    enum ReadAhead {
        /** More can be read ahead. */
        OPEN,
        /** No more can be read ahead, so that the end of the connection cannot be noticed. */
        FULL,
        /** The caller has closed its side, or the connection was reset. */
        CLOSED
    }

    CallerEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Reads what has arrived, up to {@link #MAX_READ_AHEAD_BYTES} in total, and keeps it for the server. */
    ReadAhead readAhead() {
        synchronized (readLock) {
            ByteBuffer extended = BufferUtil.allocate(MAX_READ_AHEAD_BYTES);
            BufferUtil.append(extended, readAhead);
            int filled;
            try {
                filled = super.fill(extended);
            } catch (IOException reset) {
                filled = -1;
            }
            readAhead = BufferUtil.hasContent(extended) ? extended : BufferUtil.EMPTY_BUFFER;
            if (filled < 0) {
                return ReadAhead.CLOSED;
            }
            return BufferUtil.isFull(extended) ? ReadAhead.FULL : ReadAhead.OPEN;
        }
    }

    /**
     * While paused, bytes that were read ahead do not make the connection readable: only what arrives in the socket does.
     * The server does not read in the meantime.
     */
    void pauseServer(boolean pause) {
        paused = pause;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (readLock) {
            if (readAhead.hasRemaining()) {
                int moved = BufferUtil.append(buffer, readAhead);
                if (!readAhead.hasRemaining()) {
                    readAhead = BufferUtil.EMPTY_BUFFER;
                }
                return moved;
            }
            return super.fill(buffer);
        }
    }

    @Override
    protected void needsFillInterest() {
        if (!paused && hasReadAhead()) {
            executor.execute(getFillInterest()::fillable);
            return;
        }
        super.needsFillInterest();
    }

    private boolean hasReadAhead() {
        synchronized (readLock) {
            return readAhead.hasRemaining();
        }
    }
}
