package org.wagtaillug.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.daemon.administration.AdministrationHandler;
import org.wagtaillug.daemon.administration.PendingChanges;
import org.wagtaillug.daemon.callers.CallersHandler;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.metrics.NodeMetrics;
import org.wagtaillug.daemon.platform.PlatformClient;
import org.wagtaillug.daemon.upstream.AttemptSender;
import org.wagtaillug.dispatch.DispatchLimits;
import org.wagtaillug.drain.GracePeriod;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LinkCounters;
import org.wagtaillug.link.LinkTls;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.membership.Members;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.node.NodeSetup;
import org.wagtaillug.settings.NodeSettings;

/**
 * An entry node: wires the decision logic to the listeners, the HTTP clients and the peer link, and manages their
 * lifecycle.
 */
final class Daemon implements ProcessRun.Lifecycle {
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());
    private static final int MAX_THREADS = 32;
    private static final int MAX_CONNECTIONS_PER_DESTINATION = 256;
    private static final int MAX_ANSWER_HEAD_BYTES = 65_536;
    private static final int MAX_QUEUED_PER_DESTINATION = 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final NodeSettings settings;
    private final LeaseClock clock = new LeaseClock();
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 8);
    private final NodeMetrics metrics = new NodeMetrics();
    private final DecisionLog decisions = new DecisionLog();
    private final PendingChanges pendingChanges = new PendingChanges();
    private final Exchanges exchanges = new Exchanges();
    private final Node node;
    private final ControlThread<Node, Event, Effect> control;
    private final HttpClient pooledClient;
    private final HttpClient singleUseClient;
    private final HttpClient platformClient;
    private final Server server;
    private PeerLink link;
    private EffectRunner runner;
    private final AtomicReference<Instant> shutdownRequestedAt = new AtomicReference<>();
    private CallersHandler callers;

    Daemon(NodeSettings settings) {
        this.settings = settings;
        threads.setName("traffic");
        NodeId self = new NodeId(settings.node().vm(), clock.now().toEpochMilli());
        node = new Node(setup(settings, self));
        control = new ControlThread<>(node, Node::handle, new Event.Tick(), clock::now);
        pooledClient = client();
        singleUseClient = client();
        platformClient = client();
        server = new Server(threads);
    }

    private static NodeSetup setup(NodeSettings settings, NodeId self) {
        NodeAddress address = new NodeAddress(
                settings.link().address(),
                settings.link().port(),
                settings.node().domain());
        NodeSettings.Limits limits = settings.limits();
        NodeSetup.Builder builder = NodeSetup.builder(self, address)
                .limits(new DispatchLimits(limits.requestsInFlight(), limits.retryBudget(), limits.hedgeBudget()))
                .retention(settings.platform().retention())
                .baselinePolicy(settings.policy() == NodeSettings.Policy.NAIVE)
                .shutdownGrace(settings.shutdownGrace());
        for (NodeSettings.Seed seed : settings.seeds()) {
            builder.seed(new Members.Seed(seed.vm(), address(seed)));
        }
        return builder.build();
    }

    private static NodeAddress address(NodeSettings.Seed seed) {
        return new NodeAddress(seed.address(), seed.port(), seed.domain());
    }

    private HttpClient client() {
        HttpClient client = new HttpClient();
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_DESTINATION);
        client.setFollowRedirects(false);
        client.setMaxResponseHeadersSize(MAX_ANSWER_HEAD_BYTES);
        return client;
    }

    /** Starts all components; on return, all ports accept connections. */
    @Override
    public void start() throws Exception {
        threads.start();
        pooledClient.start();
        singleUseClient.start();
        platformClient.start();
        link = openLink();
        AttemptSender sender =
                new AttemptSender(pooledClient, singleUseClient, exchanges, this::submit, clock, threads);
        PlatformClient platform = new PlatformClient(
                platformClient,
                URI.create(settings.platform().log()),
                URI.create(settings.platform().vms()),
                clock,
                this::submit,
                threads);
        runner = new EffectRunner(
                new EffectRunner.Parts(exchanges, sender, platform, link, pendingChanges, decisions, metrics, clock),
                node);
        listen();
        control.start(runner);
        LOGGER.log(Level.INFO, "node {0} accepts connections", settings.node().vm());
    }

    private void submit(Event event) {
        runner.observe(event);
        control.submit(event);
    }

    private PeerLink openLink() {
        PeerLink.Builder builder = PeerLink.builder(node.members().self())
                .bind(settings.link().address(), settings.link().port())
                .handler((sender, message) -> control.submit(new Event.PeerMessageReceived(sender, message)));
        settings.link().tls().ifPresent(tls -> builder.tls(new LinkTls(tls.key(), tls.certificate(), tls.trust())));
        PeerLink peerLink = builder.open().get();
        Map<VmId, NodeAddress> seeds = new HashMap<>();
        for (NodeSettings.Seed seed : settings.seeds()) {
            seeds.put(seed.vm(), address(seed));
        }
        peerLink.seeds(seeds);
        return peerLink;
    }

    private void listen() throws Exception {
        NodeSettings.Limits limits = settings.limits();
        callers = new CallersHandler(
                exchanges,
                this::submit,
                clock,
                runner::ready,
                new CallersHandler.Limits(limits.bodyBytes(), limits.senderTimeout()));
        Handler administration = new AdministrationHandler(
                control, pendingChanges, decisions, metrics, runner::ready, this::linkBytes, settings.administration());
        ServerConnector callersConnector = connector(settings.callers());
        ServerConnector administrationConnector =
                connector(settings.administration().listener());
        server.addConnector(callersConnector);
        server.addConnector(administrationConnector);
        server.setHandler(new PortRouter(callersConnector, callers, administration));
        server.start();
    }

    private long linkBytes() {
        LinkCounters counters = link.counters();
        return counters.bytesIn() + counters.bytesOut();
    }

    private ServerConnector connector(NodeSettings.Listener listener) throws Exception {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        HttpConnectionFactory plainHttp = new HttpConnectionFactory(http);
        ServerConnector connector = listener.tls().isPresent()
                ? new ServerConnector(server, tls(listener.tls().get()), plainHttp)
                : new ServerConnector(server, plainHttp, new HTTP2CServerConnectionFactory(http));
        connector.setHost(listener.address());
        connector.setPort(listener.port());
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        return connector;
    }

    private static SslContextFactory.Server tls(NodeSettings.Certificate files) throws Exception {
        SslContextFactory.Server factory = new SslContextFactory.Server();
        factory.setKeyStore(PemKeyStore.load(files.certificate(), files.key()));
        factory.setKeyStorePassword(PemKeyStore.PASSWORD);
        return factory;
    }

    /** Starts the shutdown grace period. */
    @Override
    public void onShutdownRequested() {
        shutdownRequestedAt.compareAndSet(null, clock.now());
    }

    /**
     * Shuts down gracefully. On return, all accepted requests are answered and the answers written, or the grace period
     * is over.
     */
    @Override
    public void drain() throws InterruptedException {
        LOGGER.log(Level.INFO, "node {0} is draining", settings.node().vm());
        Duration grace = settings.shutdownGrace();
        onShutdownRequested();
        Instant closeAt = shutdownRequestedAt
                .get()
                .plus(grace)
                .minus(GracePeriod.exitReserve(grace).dividedBy(2));
        callers.drain();
        callers.refuseIncompleteAt(shutdownRequestedAt.get().plus(grace).minus(GracePeriod.bodyReserve(grace)));
        control.submit(new Event.DrainStarted(shutdownRequestedAt.get()));
        boolean finished = runner.drained().await(millisUntil(closeAt), TimeUnit.MILLISECONDS);
        callers.refuseAll();
        boolean written = callers.awaitAnswers(Duration.ofMillis(millisUntil(closeAt)));
        if (!finished || !written) {
            LOGGER.log(
                    Level.WARNING,
                    "node {0} did not finish draining; all requests finished: {1}, all answers written: {2}",
                    settings.node().vm(),
                    finished,
                    written);
        }
    }

    private long millisUntil(Instant end) {
        return Math.max(0, Duration.between(clock.now(), end).toMillis());
    }

    /** Closes all ports and stops all threads. */
    @Override
    public void stop() throws Exception {
        server.stop();
        pooledClient.stop();
        singleUseClient.stop();
        platformClient.stop();
        link.close();
        control.close();
        threads.stop();
    }
}
