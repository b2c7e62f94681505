package org.wagtaillug.daemon.routed;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

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
        return new UpstreamEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
