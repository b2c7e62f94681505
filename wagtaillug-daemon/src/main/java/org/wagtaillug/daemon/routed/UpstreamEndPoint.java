package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wagtaillug.daemon.tunnel.FrameReader;
import org.wagtaillug.daemon.tunnel.TunnelEndPoint;

/**
 * A connection to an upstream, directly or through a tunnel, on which a reset fails the answer. So do bytes that go on without
 * bringing content: the parser of an answer has no limit for the framing of chunks or for interim answers.
 */
final class UpstreamEndPoint extends SocketChannelEndPoint implements TunnelEndPoint {
    /** Bytes that may arrive after a request was written, or after the latest content, before there is content. */
    private static final int MAX_BYTES_WITHOUT_CONTENT = 2 * 1024 * 1024;

    private final AtomicLong bytesWithoutContent = new AtomicLong();
    private Optional<FrameReader> frames = Optional.empty();

    UpstreamEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public void startFrames() {
        frames = Optional.of(new FrameReader());
    }

    /** Records that the answer brings content. */
    void onContent() {
        bytesWithoutContent.set(0);
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        bytesWithoutContent.set(0);
        return super.flush(buffers);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = frames.isPresent()
                    ? frames.get().read(getChannel(), buffer)
                    : getChannel().read(buffer);
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        if (filled > 0) {
            notIdle();
            if (bytesWithoutContent.addAndGet(filled) > MAX_BYTES_WITHOUT_CONTENT) {
                throw new IOException(
                        "found more than " + MAX_BYTES_WITHOUT_CONTENT + " bytes without content; expected an answer");
            }
        } else if (filled < 0) {
            shutdownInput();
        }
        return filled;
    }
}
