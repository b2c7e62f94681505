package org.wagtaillug.daemon.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.VmId;
import org.wagtaillug.serving.ServingEvent;

/**
 * Forwards connections of peers to upstreams, and probes upstreams. Thread-safe; no method but {@link #awaitClosed}
 * waits.
 */
public final class TunnelServer implements AutoCloseable {
    /** More tunnels are refused: each takes two of the node's file descriptors. */
    private static final int MAX_TUNNELS = 512;

    /** Network latency is a few milliseconds; a lost SYN packet is retransmitted only after a second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /**
     * A tunnel that carries no byte for this long is closed: the peer or the network may have failed without a reset, and
     * no request waits longer for its answer. TCP keep-alive would notice that only after hours.
     */
    private static final Duration MAX_IDLE = Duration.ofSeconds(30);

    private static final long CLOSE_POLL_MILLIS = 20;

    private final Consumer<ServingEvent> events;
    private final Duration maxIdle;
    private final Bootstrap connector;
    private final AtomicLong lastNumber = new AtomicLong();
    private final Map<Long, Channel> peers = new ConcurrentHashMap<>();
    private final Channel listener;

    /**
     * Listens for peers.
     *
     * @param events receives requests for tunnels and the results of attempts to connect
     */
    public TunnelServer(EventLoopGroup eventLoops, String host, int port, Consumer<ServingEvent> events)
            throws InterruptedException {
        this(eventLoops, host, port, events, MAX_IDLE);
    }

    TunnelServer(EventLoopGroup eventLoops, String host, int port, Consumer<ServingEvent> events, Duration maxIdle)
            throws InterruptedException {
        this.events = events;
        this.maxIdle = maxIdle;
        this.connector = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        // The forwarder is added when the connection is open; nothing is read before.
                    }
                });
        this.listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new TunnelRequestDecoder(TunnelServer.this::onRequest));
                    }
                })
                .bind(host, port)
                .sync()
                .channel();
    }

    private void onRequest(Channel peer, TunnelRequest request) {
        if (peers.size() >= MAX_TUNNELS) {
            respond(peer, TunnelStatus.REFUSED).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        long number = lastNumber.incrementAndGet();
        peers.put(number, peer);
        peer.closeFuture().addListener(closed -> peers.remove(number));
        events.accept(new ServingEvent.TunnelRequested(number, request.upstream(), request.incarnation()));
    }

    private static ChannelFuture respond(Channel peer, TunnelStatus status) {
        return peer.writeAndFlush(peer.alloc().buffer(1).writeByte(status.code()));
    }

    /** Refuses a request for a tunnel. */
    public void refuse(long number) {
        Channel peer = peers.get(number);
        if (peer != null) {
            respond(peer, TunnelStatus.REFUSED).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Connects to an upstream and forwards the bytes of the peer that requested it. */
    public void open(long number, Listing upstream) {
        Channel peer = peers.get(number);
        if (peer == null) {
            return;
        }
        connector.connect(upstream.host(), upstream.port()).addListener((ChannelFuture connected) -> {
            report(upstream.id(), connected);
            if (!connected.isSuccess()) {
                respond(peer, TunnelStatus.UPSTREAM_UNREACHABLE).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            join(peer, connected.channel());
        });
    }

    /** The status must be written before any byte of the upstream is. */
    private void join(Channel peer, Channel upstream) {
        upstream.pipeline().addLast(new FramedForwarder(peer));
        peer.eventLoop().execute(() -> {
            peer.pipeline()
                    .addLast(
                            new IdleStateHandler(0, 0, maxIdle.toMillis(), TimeUnit.MILLISECONDS),
                            new RawForwarder(upstream));
            peer.pipeline().remove(TunnelRequestDecoder.class);
            if (!peer.isActive()) {
                upstream.close();
                return;
            }
            respond(peer, TunnelStatus.CONNECTED);
            peer.config().setAutoRead(true);
            upstream.config().setAutoRead(true);
        });
    }

    private void report(VmId upstream, ChannelFuture connected) {
        Optional<String> failure = Optional.ofNullable(connected.cause())
                .map(cause -> cause.getClass().getSimpleName() + ": " + cause.getMessage());
        events.accept(new ServingEvent.ConnectEnded(upstream, failure));
    }

    /** Waits until all tunnels are closed by their peers or upstreams, or a time has passed. */
    public void awaitClosed(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!peers.isEmpty() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_MILLIS);
        }
    }

    /** The port that the server listens on. */
    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops listening and closes all tunnels. */
    @Override
    public void close() {
        listener.close();
        peers.values().forEach(Channel::close);
    }
}
