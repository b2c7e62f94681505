package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connects to upstreams and distinguishes a connection reset from an orderly end.
 *
 * <p>The default end points of the library report a reset as the end of the input. An answer without a length ends with
 * its connection, so a truncated answer of a crashed upstream would look complete. Here a reset fails the answer.
 */
final class UpstreamConnector extends ClientConnector {
    /**
     * Upstreams use plain HTTP. Creating an unused TLS context takes a fifth of the processor time of a node's start,
     * and a node that was killed is unavailable until its restart is finished.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new SslContextFactory.Client() {
            @Override
            protected void doStart() {}
        };
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {
        private ResetAwareEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            int filled;
            try {
                filled = getChannel().read(buffer);
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
}
