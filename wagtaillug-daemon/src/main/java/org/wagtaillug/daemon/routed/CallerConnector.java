package org.wagtaillug.daemon.routed;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/** Accepts the connections of callers, or closes them before anything is read. */
final class CallerConnector extends ServerConnector {
    private final BooleanSupplier admission;
    private final AtomicInteger opening = new AtomicInteger();

    /**
     * Creates a connector.
     *
     * @param admission whether the next connection is accepted
     */
    CallerConnector(Server server, int selectors, HttpConnectionFactory http, BooleanSupplier admission) {
        super(server, null, null, null, 0, selectors, http);
        this.admission = admission;
    }

    @Override
    protected SelectorManager newSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
        return new ServerConnectorManager(executor, scheduler, selectors) {
            @Override
            protected void accepted(SelectableChannel channel) throws IOException {
                if (admission.getAsBoolean()) {
                    opening.incrementAndGet();
                    super.accepted(channel);
                    return;
                }
                // A reset leaves no state of the connection behind at this end.
                ((NetworkChannel) channel).setOption(StandardSocketOptions.SO_LINGER, 0);
                channel.close();
            }

            @Override
            protected void endPointOpened(EndPoint endPoint) {
                super.endPointOpened(endPoint);
                opening.decrementAndGet();
            }

            @Override
            protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
                super.onAcceptFailed(channel, cause);
                opening.decrementAndGet();
            }
        };
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        CallerEndPoint endPoint = new CallerEndPoint(channel, selector, key, getScheduler(), getExecutor());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }

    /** The number of connections that have been accepted and not closed. */
    int openConnections() {
        return opening.get() + getConnectedEndPoints().size();
    }
}
