package org.wagtaillug.daemon.tunnel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.serving.ServingEvent;

class TunnelServerTest {
    private static final String HOST = "127.0.0.1";
    private static final VmId UPSTREAM = new VmId("i-1");
    private static final Duration MAX_IDLE = Duration.ofMillis(300);
    private static final int TIMEOUT_MILLIS = 5000;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<ServingEvent> events = new LinkedBlockingQueue<>();
    private ServerSocket upstream;
    private TunnelServer server;

    @BeforeEach
    void start() throws Exception {
        upstream = new ServerSocket(0, 5, InetAddress.getByName(HOST));
        upstream.setSoTimeout(TIMEOUT_MILLIS);
        server = new TunnelServer(eventLoops, HOST, 0, events::add, MAX_IDLE);
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        upstream.close();
    }

    private Listing listing(int port) {
        return new Listing(UPSTREAM, 7, new PoolId("p"), HOST, port, new DomainId("north"), false, Duration.ZERO, "");
    }

    /** Connects as a peer and requests a tunnel; returns the connection and leaves the answer to the test. */
    private Socket request() throws IOException {
        Socket peer = new Socket(HOST, server.port());
        peer.setSoTimeout(TIMEOUT_MILLIS);
        peer.getOutputStream().write(new TunnelRequest(UPSTREAM, 7).encode().array());
        return peer;
    }

    private long requestedNumber() throws InterruptedException {
        ServingEvent event = events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(event).isInstanceOf(ServingEvent.TunnelRequested.class);
        ServingEvent.TunnelRequested requested = (ServingEvent.TunnelRequested) event;
        assertThat(requested.upstream()).isEqualTo(UPSTREAM);
        assertThat(requested.incarnation()).isEqualTo(7);
        return requested.number();
    }

    @Test
    void forwardsBytesInFramesWithAnEnd() throws Exception {
        try (Socket peer = request()) {
            server.open(requestedNumber(), listing(upstream.getLocalPort()));
            DataInputStream in = new DataInputStream(peer.getInputStream());
            assertThat(in.read()).isEqualTo(TunnelStatus.CONNECTED.code());
            try (Socket accepted = upstream.accept()) {
                peer.getOutputStream().write('q');
                assertThat(accepted.getInputStream().read()).isEqualTo('q');
                accepted.getOutputStream().write('a');
            }
            assertThat(in.readInt()).isEqualTo(1);
            assertThat(in.read()).isEqualTo('a');
            assertThat(in.readInt()).isZero();
            assertThat(in.read()).isEqualTo(-1);
        }
    }

    @Test
    void saysThatAnUpstreamCannotBeReached() throws Exception {
        int closedPort = upstream.getLocalPort();
        upstream.close();
        try (Socket peer = request()) {
            server.open(requestedNumber(), listing(closedPort));
            assertThat(peer.getInputStream().read()).isEqualTo(TunnelStatus.UPSTREAM_UNREACHABLE.code());
            ServingEvent.ConnectEnded ended =
                    (ServingEvent.ConnectEnded) events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(ended.failure()).isPresent();
        }
    }

    @Test
    void refuses() throws Exception {
        try (Socket peer = request()) {
            server.refuse(requestedNumber());
            assertThat(peer.getInputStream().read()).isEqualTo(TunnelStatus.REFUSED.code());
        }
    }

    /** Guards against tunnels that stay open for good after a peer has failed without closing its connection. */
    @Test
    void closesATunnelThatHasGoneSilent() throws Exception {
        try (Socket peer = request()) {
            server.open(requestedNumber(), listing(upstream.getLocalPort()));
            assertThat(peer.getInputStream().read()).isEqualTo(TunnelStatus.CONNECTED.code());
            try (Socket accepted = upstream.accept()) {
                accepted.setSoTimeout(TIMEOUT_MILLIS);
                assertThat(accepted.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    @Test
    void closesAConnectionThatSendsNoRequest() throws Exception {
        try (Socket peer = new Socket(HOST, server.port())) {
            peer.setSoTimeout(TIMEOUT_MILLIS);
            peer.getOutputStream().write(new byte[] {0, 0});
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
    }
}
