package org.wagtaillug.daemon.routed;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wagtaillug.clock.SteadyClock;
import org.wagtaillug.clock.WallClockMonitor;
import org.wagtaillug.daemon.ProcessRun;
import org.wagtaillug.daemon.body.BodyMemory;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.translation.Translation;
import org.wagtaillug.daemon.tunnel.PeerTunnels;
import org.wagtaillug.daemon.tunnel.TunnelServer;
import org.wagtaillug.drain.GracePeriod;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LinkObserver;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.routing.UpstreamLimits;
import org.wagtaillug.serving.Serving;
import org.wagtaillug.serving.ServingEffect;
import org.wagtaillug.serving.ServingEvent;
import org.wagtaillug.serving.ServingSetup;
import org.wagtaillug.settings.RoutedSettings;
import org.wagtaillug.settings.SettingsProblem;

/**
 * A node that routes by host and path: wires the decision logic to the listeners, the HTTP clients and the peer link,
 * and manages their lifecycle.
 *
 * <pre>{@code
 * RoutedDaemon daemon = new RoutedDaemon(file, settings, decoder, client -> translation(client));
 * daemon.start();
 * }</pre>
 */
public final class RoutedDaemon implements ProcessRun.Lifecycle {
    private static final Logger LOGGER = System.getLogger(RoutedDaemon.class.getName());

    /** Callbacks do not block; on a single core additional threads only use memory. */
    private static final int MAX_THREADS = 10;

    private static final int SELECTORS = 1;

    /** Network latency is a few milliseconds; a lost SYN packet is retransmitted only after a second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /**
     * Upstreams close idle connections after seconds. Closing them here first avoids losing a request that is sent at
     * the moment when the upstream closes its connection.
     */
    private static final Duration UPSTREAM_IDLE_TIMEOUT = Duration.ofSeconds(2);

    /** The decision logic divides the connections of an upstream between the nodes; this limit is only a safeguard. */
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 64;

    private static final int MAX_QUEUED_PER_UPSTREAM = 256;

    private static final int MAX_HEADER_BYTES = 16_384;

    /** Maximum length of the status line and all fields of an answer, and of its trailers. */
    private static final int MAX_ANSWER_HEAD_BYTES = 65_536;

    private static final Duration MAX_LINK_SILENCE = Duration.ofSeconds(1);

    /**
     * Applies to connections that are idle when the ports close, those of the load balancer and of metrics included.
     */
    private static final Duration STOP_IDLE_TIMEOUT = Duration.ofMillis(50);

    /** Upper limit of the time to close the ports after all answers are written. */
    private static final Duration MAX_STOP_TIMEOUT = Duration.ofMillis(200);

    /** The same limit as a fraction of a short shutdown grace. */
    private static final int STOP_GRACE_DIVISOR = 16;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Path file;
    private final RoutedSettings settings;
    private final SteadyClock clock;
    private final WallClockMonitor wallClock;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    private final RoutedExchanges exchanges = new RoutedExchanges();
    private final RoutedMetrics metrics = new RoutedMetrics();
    private final HttpClient pooledClient;
    private final HttpClient singleUseClient;
    private final Translation translation;
    private final ControlThread<Serving, ServingEvent, ServingEffect> control;
    private final NodeId self;
    private final Server server;
    private final ReaderLimits readerLimits;
    private AsyncDecisionLog decisions;
    private PeerLink link;
    private TunnelServer tunnels;
    private final CallerConnections connections = new CallerConnections();
    private final AtomicReference<Instant> shutdownRequestedAt = new AtomicReference<>();
    private CallerConnector callers;
    private RoutedHandler handler;
    private RoutedEffects effects;

    /**
     * Creates a node; nothing runs before {@link #start}.
     *
     * @param file the file that the settings were read from
     * @param decoder decodes the records of feeds
     * @param translate creates the translation; receives the client to be used for requests to the store
     */
    public RoutedDaemon(
            Path file, RoutedSettings settings, RecordDecoder decoder, Function<HttpClient, Translation> translate) {
        this(file, settings, decoder, translate, Clock.systemUTC());
    }

    /**
     * Creates a node; nothing runs before {@link #start}.
     *
     * @param file the file that the settings were read from
     * @param decoder decodes the records of feeds
     * @param translate creates the translation; receives the client to be used for requests to the store
     * @param wall the wall clock, which may be set at any time
     */
    public RoutedDaemon(
            Path file,
            RoutedSettings settings,
            RecordDecoder decoder,
            Function<HttpClient, Translation> translate,
            Clock wall) {
        this.file = file;
        this.settings = settings;
        clock = new SteadyClock(wall, System::nanoTime);
        wallClock = new WallClockMonitor(clock);
        threads.setName("traffic");
        self = new NodeId(settings.node().vm(), clock.now().toEpochMilli());
        pooledClient = client();
        singleUseClient = client();
        translation = translate.apply(pooledClient);
        ServingSetup.Builder setup = ServingSetup.builder(self, settings.node().domain(), decoder)
                .retryLimits(new ServingSetup.RetryLimits(
                        settings.retryLimits().window(),
                        settings.retryLimits().ratio(),
                        settings.retryLimits().fixed()))
                .startedAt(clock.now())
                .drainGrace(settings.shutdownGrace())
                .features(settings.features())
                .contention(settings.contention())
                .capacity(settings.capacity())
                .acceptsTunnels(settings.listeners().tunnels().isPresent())
                .rolloutLimits(settings.rolloutLimits())
                .coldBound(new UpstreamLimits.ColdBound(
                        settings.coldBound().ratio(), settings.coldBound().fixed()));
        settings.seeds().forEach(setup::seed);
        control = new ControlThread<>(
                new Serving(setup.build()), this::decide, new ServingEvent.Tick(), clock::now, Serving::tickInterval);
        server = new Server(threads);
        readerLimits = new ReaderLimits(
                HeldBytes.Bounds.ofHeap(Runtime.getRuntime().maxMemory()),
                threads,
                pooledClient::getScheduler,
                (reason, decision) -> {
                    metrics.recordReaderEnded(reason);
                    logDecision(decision);
                },
                clock::now);
        metrics.observeHeldBytes(readerLimits::total);
    }

    private List<ServingEffect> decide(Serving serving, ServingEvent event, Instant now) {
        Optional<Duration> offset = wallClock.pollChange();
        if (offset.isEmpty()) {
            return serving.handle(event, now);
        }
        List<ServingEffect> decided = new ArrayList<>(serving.handle(new ServingEvent.WallClockSet(offset.get()), now));
        decided.addAll(serving.handle(event, now));
        return decided;
    }

    private HttpClient client() {
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(new UpstreamConnector());
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(UPSTREAM_IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_UPSTREAM);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setMaxResponseHeadersSize(MAX_ANSWER_HEAD_BYTES);
        return client;
    }

    /** Starts all components; on return, all ports accept connections. */
    @Override
    public void start() throws Exception {
        threads.start();
        start(pooledClient);
        start(singleUseClient);
        decisions = new AsyncDecisionLog();
        handler = new RoutedHandler(
                translation.callers(),
                exchanges,
                connections,
                control::submit,
                clock::now,
                readerLimits,
                BodyMemory.ofHeap(Runtime.getRuntime().maxMemory()),
                this::logDecision);
        link = openLink();
        RoutedSettings.Address tunnelAddress = tunnelAddress();
        tunnels = new TunnelServer(link.eventLoops(), tunnelAddress.host(), tunnelAddress.port(), control::submit);
        effects = new RoutedEffects(new RoutedEffects.Parts(
                exchanges,
                handler,
                () -> connections.closeIdle(callers),
                new UpstreamCaller(
                        pooledClient,
                        singleUseClient,
                        new PeerTunnels(singleUseClient, tunnelAddress.port()),
                        translation.upstreams(),
                        exchanges,
                        control::submit,
                        clock::now),
                new UpstreamProber(singleUseClient, translation.upstreams(), control::submit),
                new BatchCaller(pooledClient, singleUseClient, translation.stages(), control::submit),
                translation,
                link,
                tunnels,
                settings.listeners().link().port(),
                settings.node().domain(),
                control::submit,
                decisions,
                metrics,
                readerLimits,
                clock::now));
        control.start(effects);
        listen();
        LOGGER.log(Level.INFO, "node {0} accepts connections", settings.node().name());
    }

    /**
     * Answers are forwarded unchanged: the client must not follow redirects, decode content or handle final protocol
     * responses itself.
     */
    private static void start(HttpClient client) throws Exception {
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new InterimAnswers());
    }

    /** Without a configured listener, no peer is told of the tunnels of this node. */
    private RoutedSettings.Address tunnelAddress() {
        String linkHost = settings.listeners().link().host();
        return settings.listeners().tunnels().orElse(new RoutedSettings.Address(linkHost, 0));
    }

    private PeerLink openLink() {
        return PeerLink.builder(self)
                .bind(
                        settings.listeners().link().host(),
                        settings.listeners().link().port())
                .acknowledgementTimeout(MAX_LINK_SILENCE)
                .observer(new LinkObserver() {
                    @Override
                    public void connected(VmId peer) {
                        control.submit(new ServingEvent.PeerConnected(peer));
                    }

                    @Override
                    public void disconnected(VmId peer) {
                        control.submit(new ServingEvent.PeerDisconnected(peer));
                    }
                })
                .handler((sender, message) -> {
                    if (message instanceof ServingMessage serving) {
                        control.submit(new ServingEvent.PeerMessageReceived(sender, serving));
                    }
                })
                .open()
                .get();
    }

    private void listen() throws Exception {
        ConnectionGate gate =
                new ConnectionGate(() -> callers.openConnections(), workDelay(), clock::now, this::logDecision);
        callers = new CallerConnector(server, SELECTORS, http(), gate::admit);
        configure(callers, settings.listeners().callers());
        ServerConnector readiness = connector(settings.listeners().readiness());
        ServerConnector administration = connector(settings.listeners().administration());
        server.addConnector(callers);
        server.addConnector(readiness);
        server.addConnector(administration);
        server.setStopTimeout(stopTimeout().toMillis());
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                Object connector = request.getConnectionMetaData().getConnector();
                if (connector == callers) {
                    return handler.handle(request, response, callback);
                }
                return connector == readiness ? readiness(response, callback) : metrics(response, callback);
            }
        });
        server.start();
    }

    private boolean readiness(Response response, Callback callback) {
        response.setStatus(effects.ready() ? OK : SERVICE_UNAVAILABLE);
        response.write(true, null, callback);
        return true;
    }

    private boolean metrics(Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        byte[] text = metrics.text().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(text), callback);
        return true;
    }

    /** The delay of the threads that a request passes through. */
    private WorkDelay workDelay() {
        return new WorkDelay(
                List.of(control::execute, threads, task -> selector(callers).submit(ignored -> task.run())),
                clock::now);
    }

    private static ManagedSelector selector(ServerConnector connector) {
        return connector.getSelectorManager().getBean(ManagedSelector.class);
    }

    private void logDecision(Decision decision) {
        metrics.recordDecision(decision);
        decisions.add(decision, clock.now());
    }

    private static HttpConnectionFactory http() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        return new HttpConnectionFactory(http);
    }

    private ServerConnector connector(RoutedSettings.Address address) {
        ServerConnector connector = new ServerConnector(server, null, null, null, 0, SELECTORS, http());
        configure(connector, address);
        return connector;
    }

    private static void configure(ServerConnector connector, RoutedSettings.Address address) {
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(CallerConnections.IDLE_TIMEOUT.toMillis());
        connector.setShutdownIdleTimeout(STOP_IDLE_TIMEOUT.toMillis());
    }

    /** Starts the shutdown grace period. */
    @Override
    public void onShutdownRequested() {
        shutdownRequestedAt.compareAndSet(null, clock.now());
    }

    private Duration stopTimeout() {
        Duration fraction = settings.shutdownGrace().dividedBy(STOP_GRACE_DIVISOR);
        return fraction.compareTo(MAX_STOP_TIMEOUT) < 0 ? fraction : MAX_STOP_TIMEOUT;
    }

    /**
     * Shuts down gracefully. On return, all accepted requests are answered and the answers written, or the grace period
     * is over. While a slow caller still reads its answer, new requests that fit into the remaining time are served.
     */
    @Override
    public void drain() throws InterruptedException {
        LOGGER.log(Level.INFO, "node {0} is shutting down", settings.node().name());
        onShutdownRequested();
        Instant graceEnd = shutdownRequestedAt.get().plus(settings.shutdownGrace());
        connections.closeAfterAnswers();
        handler.refuseIncompleteAt(graceEnd.minus(GracePeriod.bodyReserve(settings.shutdownGrace())));
        control.submit(new ServingEvent.DrainStarted(shutdownRequestedAt.get()));
        boolean drained = effects.drained().await(millisUntil(graceEnd), TimeUnit.MILLISECONDS);
        Instant stopAt = graceEnd.minus(stopTimeout());
        connections.awaitWritten(millisUntil(stopAt.minus(stopTimeout())));
        control.submit(new ServingEvent.PortsClosing());
        handler.refuseIncomplete();
        boolean answersWritten = connections.awaitWritten(millisUntil(stopAt));
        tunnels.awaitClosed(millisUntil(stopAt));
        if (!drained || !answersWritten) {
            LOGGER.log(
                    Level.WARNING,
                    "node {0} did not finish all requests within the shutdown grace",
                    settings.node().name());
        }
    }

    private long millisUntil(Instant until) {
        return Math.max(0, Duration.between(clock.now(), until).toMillis());
    }

    /** Logs whether the settings file differs from the settings of this process. Changes take effect at a restart. */
    @Override
    public void reload() {
        Either<List<SettingsProblem>, RoutedSettings> loaded = RoutedSettings.load(file);
        if (loaded.isLeft()) {
            LOGGER.log(
                    Level.ERROR,
                    "reload: the settings file is invalid, the running settings stay in force: {0}",
                    loaded.getLeft());
            return;
        }
        String outcome = loaded.get().equals(settings) ? "no changes" : "changes take effect at the next start";
        LOGGER.log(Level.INFO, "reload: {0}", outcome);
    }

    /** Closes all ports and stops all threads. */
    @Override
    public void stop() throws Exception {
        try {
            server.stop();
        } catch (TimeoutException timeout) {
            LOGGER.log(Level.WARNING, "connections were still open when the ports were closed: {0}", timeout);
        }
        pooledClient.stop();
        singleUseClient.stop();
        tunnels.close();
        link.close();
        control.close();
        decisions.close();
        threads.stop();
    }
}
