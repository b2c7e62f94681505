package org.wagtaillug.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Try;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.message.PeerMessage;

/**
 * Transports messages between this node and the others. A node maintains one connection to each configured peer and
 * sends over it; it replies to other peers over the connections that they opened. Messages may be lost, but are never
 * altered.
 *
 * <pre>{@code
 * PeerLink link = PeerLink.builder(self).bind("10.0.0.4", 7400).handler(node::received).open().get();
 * link.peers(members);
 * link.send(new VmId("entry-2"), probe);
 * }</pre>
 *
 * <p>All methods are thread-safe, and none of them except {@link #close()} waits for the network.
 */
public final class PeerLink implements AutoCloseable {
    /** Time after a write without any data in return, after which the connection is closed and reopened. */
    public static final Duration DEFAULT_ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(3);

    private static final Logger LOGGER = System.getLogger(PeerLink.class.getName());
    private static final int MAX_OUTBOUND_BUFFER_BYTES = 1 << 20;

    /**
     * A round trip between failure domains takes 3 ms. A machine without power does not respond at all, and TCP
     * retransmits the SYN packet only after 1 s: an attempt that waits for that reaches a peer that has started in the
     * meantime up to a second later than a new attempt does.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private static final int ACKNOWLEDGEMENTS_PER_TIMEOUT = 6;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final NodeId self;
    private final Duration acknowledgementTimeout;
    private final EventLoopGroup eventLoops;
    private final LinkMeter meter;
    private final Bootstrap dialBootstrap;
    private final Consumer<SocketChannel> security;
    private final Channel listener;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final MessageReader reader;
    private final LinkObserver observer;
    private final ReturnPaths returnPaths = new ReturnPaths();
    private final Map<VmId, Dialler> diallers = new ConcurrentHashMap<>();
    private Map<VmId, LogRecord.NodeAddress> seeds = Map.of();
    private Map<VmId, LogRecord.NodeAddress> members = Map.of();

    private PeerLink(Builder builder, EventLoopGroup eventLoops) throws Exception {
        this.self = builder.self;
        this.acknowledgementTimeout = builder.acknowledgementTimeout;
        this.eventLoops = eventLoops;
        this.meter = new LinkMeter();
        this.reader = new MessageReader(self, builder.handler, meter);
        this.observer = builder.observer;
        this.security = clientSecurity(builder.tls);
        this.dialBootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_OUTBOUND_BUFFER_BYTES / 2, MAX_OUTBOUND_BUFFER_BYTES));
        this.listener = listen(builder);
    }

    /** Returns a builder of a link without TLS. Address and handler must be set. */
    public static Builder builder(NodeId self) {
        return new Builder(self);
    }

    public NodeId self() {
        return self;
    }

    /** The port that the link listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Sets addresses that are known before the roster is. The address of a member of the same VM takes precedence.
     */
    public synchronized void seeds(Map<VmId, LogRecord.NodeAddress> addresses) {
        seeds = Map.copyOf(addresses);
        reconcile();
    }

    /** Sets the peers to maintain connections to. Connections to nodes that are no longer listed are closed. */
    public synchronized void peers(List<LogRecord.StateMember> roster) {
        Map<VmId, LogRecord.NodeAddress> addresses = new HashMap<>();
        for (LogRecord.StateMember member : roster) {
            addresses.put(member.node().vm(), member.address());
        }
        members = Map.copyOf(addresses);
        reconcile();
    }

    /**
     * Sends a message, or drops it if no connection is open, the outbound buffer of the connection holds more than 1
     * MiB or the message is larger than 1 MiB.
     *
     * @return whether a connection accepted the message; it may still be lost
     */
    public boolean send(VmId receiver, PeerMessage message) {
        Dialler dialler = diallers.get(receiver);
        boolean dialled = dialler != null && dialler.connected();
        Optional<Channel> returnPath = dialled ? Optional.empty() : returnPaths.find(receiver);
        if (!dialled && returnPath.isEmpty()) {
            meter.dropped.increment();
            return false;
        }
        byte[] bytes = codec.encode(new PeerMessageCodec.Envelope(self, receiver, message));
        if (bytes.length > Frames.MAX_MESSAGE_BYTES) {
            LOGGER.log(
                    Level.ERROR,
                    "dropped a message of {0} bytes to {1}: larger than the maximum of {2} bytes",
                    bytes.length,
                    receiver,
                    Frames.MAX_MESSAGE_BYTES);
            meter.dropped.increment();
            return false;
        }
        boolean accepted = dialled ? dialler.send(bytes) : reply(returnPath.get(), bytes);
        if (!accepted) {
            meter.dropped.increment();
            return false;
        }
        meter.messagesOut.increment();
        return true;
    }

    private static boolean reply(Channel channel, byte[] bytes) {
        if (!channel.isWritable()) {
            return false;
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
        return true;
    }

    /** The event loops of the link, which other connections between nodes may share; closed with the link. */
    public EventLoopGroup eventLoops() {
        return eventLoops;
    }

    /** The traffic so far. */
    public LinkCounters counters() {
        int connections = 0;
        for (Dialler dialler : diallers.values()) {
            if (dialler.connected()) {
                connections++;
            }
        }
        return meter.counters(connections);
    }

    /** Closes all connections and waits until the event loop has terminated, at most 5 s. */
    @Override
    public void close() {
        synchronized (this) {
            seeds = Map.of();
            members = Map.of();
            reconcile();
        }
        listener.close();
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void reconcile() {
        Map<VmId, LogRecord.NodeAddress> wanted = new HashMap<>(seeds);
        wanted.putAll(members);
        wanted.remove(self.vm());
        for (VmId vm : List.copyOf(diallers.keySet())) {
            if (!wanted.containsKey(vm)) {
                diallers.remove(vm).close();
            }
        }
        for (Map.Entry<VmId, LogRecord.NodeAddress> entry : wanted.entrySet()) {
            ensureConnected(entry.getKey(), entry.getValue());
        }
    }

    private void ensureConnected(VmId peer, LogRecord.NodeAddress address) {
        InetSocketAddress target = new InetSocketAddress(address.host(), address.port());
        Dialler existing = diallers.get(peer);
        if (existing != null && existing.address().equals(target)) {
            return;
        }
        Dialler dialler =
                new Dialler(peer, target, dialBootstrap, security, reader, observer, meter, acknowledgementTimeout);
        diallers.put(peer, dialler);
        if (existing != null) {
            existing.close();
        }
        dialler.start();
    }

    private static Consumer<SocketChannel> clientSecurity(Optional<LinkTls> tls) throws Exception {
        if (tls.isEmpty()) {
            return channel -> {};
        }
        SslContext context = tls.get().client();
        return channel -> channel.pipeline().addLast(context.newHandler(channel.alloc()));
    }

    private static Consumer<SocketChannel> serverSecurity(Optional<LinkTls> tls) throws Exception {
        if (tls.isEmpty()) {
            return channel -> {};
        }
        SslContext context = tls.get().server();
        return channel -> channel.pipeline().addLast(context.newHandler(channel.alloc()));
    }

    private Channel listen(Builder builder) throws Exception {
        Consumer<SocketChannel> serverSecurity = serverSecurity(builder.tls);
        Duration acknowledgementDelay = acknowledgementTimeout.dividedBy(ACKNOWLEDGEMENTS_PER_TIMEOUT);
        ChannelInitializer<SocketChannel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(meter);
                serverSecurity.accept(channel);
                Frames.addTo(channel.pipeline());
                channel.pipeline().addLast(new AcceptedConnection(reader, returnPaths, meter, acknowledgementDelay));
            }
        };
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_OUTBOUND_BUFFER_BYTES / 2, MAX_OUTBOUND_BUFFER_BYTES))
                .childHandler(initializer)
                .bind(builder.host, builder.port)
                .sync()
                .channel();
    }

    /** Builder of {@link PeerLink}. */
    public static final class Builder {
        private final NodeId self;
        private String host;
        private int port;
        private BiConsumer<NodeId, PeerMessage> handler;
        private Optional<LinkTls> tls = Optional.empty();
        private Duration acknowledgementTimeout = DEFAULT_ACKNOWLEDGEMENT_TIMEOUT;
        private LinkObserver observer = LinkObserver.NONE;

        private Builder(NodeId self) {
            this.self = self;
        }

        /** Sets the address to listen on; port 0 selects any free port. */
        public Builder bind(String listenHost, int listenPort) {
            this.host = listenHost;
            this.port = listenPort;
            return this;
        }

        /**
         * Sets the handler of received messages, called with sender and message. It runs on the link's event loop
         * thread and must not block.
         */
        public Builder handler(BiConsumer<NodeId, PeerMessage> receiver) {
            this.handler = receiver;
            return this;
        }

        /** Sets the observer of opened and closed connections. */
        public Builder observer(LinkObserver listener) {
            this.observer = listener;
            return this;
        }

        /** Enables mutual TLS. Either all nodes must enable it or none. */
        public Builder tls(LinkTls files) {
            this.tls = Optional.of(files);
            return this;
        }

        /**
         * Sets the acknowledgement timeout, by default {@link PeerLink#DEFAULT_ACKNOWLEDGEMENT_TIMEOUT}. It must be
         * the same on all nodes.
         */
        public Builder acknowledgementTimeout(Duration timeout) {
            this.acknowledgementTimeout = timeout;
            return this;
        }

        /** Opens the link; fails if the address cannot be bound or a TLS file cannot be read. */
        public Try<PeerLink> open() {
            if (host == null || handler == null) {
                return Try.failure(new IllegalArgumentException("address and handler must be set"));
            }
            EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("peer-link", true), NioIoHandler.newFactory());
            return Try.of(() -> new PeerLink(this, eventLoops)).onFailure(ignored -> eventLoops.shutdownGracefully());
        }
    }
}
