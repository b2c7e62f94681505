package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wagtaillug.daemon.tunnel.FrameReader;
import org.wagtaillug.daemon.tunnel.TunnelEndPoint;

/** A connection to an upstream, directly or through a tunnel, on which a reset fails the answer. */
final class UpstreamEndPoint extends SocketChannelEndPoint implements TunnelEndPoint {
    private Optional<FrameReader> frames = Optional.empty();

    UpstreamEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public void startFrames() {
        frames = Optional.of(new FrameReader());
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
        } else if (filled < 0) {
            shutdownInput();
        }
        return filled;
    }
}
