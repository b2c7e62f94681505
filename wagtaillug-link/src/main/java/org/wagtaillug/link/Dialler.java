package org.wagtaillug.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtaillug.id.VmId;

/**
 * Maintains one connection to one peer: opens it, and reopens it whenever it ends, until the dialler is closed. Apart
 * from {@link #send}, everything runs on one event loop.
 */
final class Dialler {
    private final VmId peer;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Consumer<SocketChannel> security;
    private final MessageReader reader;
    private final LinkObserver observer;
    private final LinkMeter meter;
    private final Duration acknowledgementTimeout;
    private final EventLoop eventLoop;
    private final Backoff backoff = new Backoff();
    private volatile Optional<Channel> connection = Optional.empty();
    private volatile boolean closed;

    Dialler(
            VmId peer,
            InetSocketAddress address,
            Bootstrap template,
            Consumer<SocketChannel> security,
            MessageReader reader,
            LinkObserver observer,
            LinkMeter meter,
            Duration acknowledgementTimeout) {
        this.peer = peer;
        this.address = address;
        this.security = security;
        this.reader = reader;
        this.observer = observer;
        this.meter = meter;
        this.acknowledgementTimeout = acknowledgementTimeout;
        this.eventLoop = template.config().group().next();
        this.bootstrap = template.clone(eventLoop).handler(new Initializer());
    }

    InetSocketAddress address() {
        return address;
    }

    boolean connected() {
        return connection.isPresent();
    }

    void start() {
        eventLoop.execute(this::connect);
    }

    /** Sends bytes if a connection is open and its outbound buffer has room; returns whether they were accepted. */
    boolean send(byte[] bytes) {
        Optional<Channel> current = connection;
        if (current.isEmpty() || !current.get().isWritable()) {
            return false;
        }
        Channel channel = current.get();
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
        return true;
    }

    void close() {
        closed = true;
        eventLoop.execute(() -> connection.ifPresent(Channel::close));
    }

    private void connect() {
        if (closed) {
            return;
        }
        ChannelFuture attempt = bootstrap.connect(address);
        attempt.addListener(ignored -> onConnectCompleted(attempt));
    }

    private void onConnectCompleted(ChannelFuture attempt) {
        if (!attempt.isSuccess()) {
            observer.disconnected(peer);
            scheduleConnect();
            return;
        }
        Channel channel = attempt.channel();
        if (closed) {
            channel.close();
            return;
        }
        connection = Optional.of(channel);
        observer.connected(peer);
        channel.closeFuture().addListener(ignored -> onConnectionClosed());
    }

    private void onConnectionClosed() {
        connection = Optional.empty();
        if (!closed) {
            observer.disconnected(peer);
        }
        scheduleConnect();
    }

    private void scheduleConnect() {
        if (closed || eventLoop.isShuttingDown()) {
            return;
        }
        eventLoop.schedule(this::connect, backoff.nextDelay().toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Builds the pipeline of each new connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast(meter);
            security.accept(channel);
            Frames.addTo(channel.pipeline());
            channel.pipeline().addLast(new DialledConnection(peer, reader, meter, backoff, acknowledgementTimeout));
        }
    }
}
