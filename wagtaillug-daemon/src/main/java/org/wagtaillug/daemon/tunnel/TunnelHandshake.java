package org.wagtaillug.daemon.tunnel;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/** Requests a tunnel from a peer, and hands the connection over to HTTP once the peer has connected to the upstream. */
final class TunnelHandshake extends AbstractConnection implements Callback {
    /** A peer needs up to its own connect timeout to answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final Map<String, Object> context;
    private final ClientConnectionFactory next;
    private final TunnelRoute route;
    private final long idleTimeoutMillis;

    TunnelHandshake(EndPoint endPoint, Map<String, Object> context, ClientConnectionFactory next) {
        super(endPoint, destination(context).getHttpClient().getExecutor());
        this.context = context;
        this.next = next;
        this.route = (TunnelRoute) destination(context).getOrigin().getTag();
        this.idleTimeoutMillis = endPoint.getIdleTimeout();
    }

    private static Destination destination(Map<String, Object> context) {
        return (Destination) context.get(Destination.CONTEXT_KEY);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().setIdleTimeout(TIMEOUT.toMillis());
        getEndPoint().write(this, new TunnelRequest(route.upstream(), route.incarnation()).encode());
    }

    @Override
    public void succeeded() {
        fillInterested();
    }

    @Override
    public void failed(Throwable cause) {
        fail(new TunnelException("the peer " + route.peer() + " closed the connection: " + cause, false));
    }

    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        fail(new TunnelException("the peer " + route.peer() + " did not answer within " + TIMEOUT, false));
        return false;
    }

    @Override
    public void onFillable() {
        ByteBuffer buffer = BufferUtil.allocate(1);
        try {
            int filled = getEndPoint().fill(buffer);
            if (filled == 0) {
                fillInterested();
                return;
            }
            if (filled < 0) {
                throw new IOException("end of input");
            }
            onStatus(buffer.get());
        } catch (IOException cause) {
            failed(cause);
        }
    }

    private void onStatus(int code) throws IOException {
        TunnelStatus status = TunnelStatus.of(code).orElseThrow(() -> new IOException("unknown status " + code));
        switch (status) {
            case CONNECTED -> startHttp();
            case UPSTREAM_UNREACHABLE ->
                fail(new TunnelException(route.peer() + " could not connect to " + route.upstream(), true));
            case REFUSED -> fail(new TunnelException(route.peer() + " refused a tunnel to " + route.upstream(), false));
        }
    }

    private void startHttp() throws IOException {
        getEndPoint().setIdleTimeout(idleTimeoutMillis);
        ((TunnelEndPoint) getEndPoint()).startFrames();
        Connection http = next.newConnection(getEndPoint(), context);
        getEndPoint().upgrade(http);
    }

    private void fail(TunnelException failure) {
        getEndPoint().close(failure);
        Promise<?> promise = (Promise<?>) context.get(org.eclipse.jetty.client.Connection.PROMISE_CONTEXT_KEY);
        promise.failed(failure);
    }
}
