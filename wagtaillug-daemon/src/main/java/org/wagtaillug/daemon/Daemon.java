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
import org.wagtaillug.daemon.administration.AdministrationHandler;
import org.wagtaillug.daemon.administration.PendingChanges;
import org.wagtaillug.daemon.callers.CallersHandler;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.control.MonotonicClock;
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

/** One entry node: the decisions, the frame around them, and their beginning and end. */
final class Daemon implements ProcessRun.Life {
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());
    private static final int THREADS = 32;
    private static final int CONNECTIONS_EACH = 256;
    private static final int QUEUED_EACH = 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final NodeSettings settings;
    private final MonotonicClock clock = new MonotonicClock();
    private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 8);
    private final NodeMetrics metrics = new NodeMetrics();
    private final DecisionLog decisions = new DecisionLog();
    private final PendingChanges pending = new PendingChanges();
    private final Exchanges exchanges = new Exchanges();
    private final Node node;
    private final ControlThread<Node, Event, Effect> control;
    private final HttpClient kept;
    private final HttpClient fresh;
    private final HttpClient platformHttp;
    private final Server server;
    private PeerLink link;
    private EffectRunner runner;
    private final AtomicReference<Instant> askedAt = new AtomicReference<>();
    private CallersHandler callers;

    Daemon(NodeSettings settings) {
        this.settings = settings;
        threads.setName("traffic");
        NodeId self = new NodeId(settings.node().vm(), clock.now().toEpochMilli());
        node = new Node(setup(settings, self));
        control = new ControlThread<>(node, Node::handle, new Event.Tick(), clock);
        kept = client();
        fresh = client();
        platformHttp = client();
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
        client.setMaxConnectionsPerDestination(CONNECTIONS_EACH);
        client.setMaxRequestsQueuedPerDestination(QUEUED_EACH);
        client.setFollowRedirects(false);
        return client;
    }

    /** Starts everything; when it returns, all ports listen. */
    @Override
    public void start() throws Exception {
        threads.start();
        kept.start();
        fresh.start();
        platformHttp.start();
        link = openLink();
        AttemptSender sender = new AttemptSender(kept, fresh, exchanges, this::submit, clock, threads);
        PlatformClient platform = new PlatformClient(
                platformHttp,
                URI.create(settings.platform().log()),
                URI.create(settings.platform().vms()),
                clock,
                this::submit,
                threads);
        runner = new EffectRunner(
                new EffectRunner.Parts(exchanges, sender, platform, link, pending, decisions, metrics, clock), node);
        listen();
        control.start(runner);
        LOGGER.log(Level.INFO, "node {0} listens", settings.node().vm());
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
        PeerLink opened = builder.open().get();
        Map<VmId, NodeAddress> seeds = new HashMap<>();
        for (NodeSettings.Seed seed : settings.seeds()) {
            seeds.put(seed.vm(), address(seed));
        }
        opened.seeds(seeds);
        return opened;
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
                control, pending, decisions, metrics, runner::ready, this::linkBytes, settings.administration());
        ServerConnector callersConnector = connector(settings.callers());
        ServerConnector administrationConnector =
                connector(settings.administration().listener());
        server.addConnector(callersConnector);
        server.addConnector(administrationConnector);
        server.setHandler(new ByPort(callersConnector, callers, administration));
        server.start();
    }

    private long linkBytes() {
        LinkCounters counters = link.counters();
        return counters.bytesIn() + counters.bytesOut();
    }

    private ServerConnector connector(NodeSettings.Listener listener) throws Exception {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        HttpConnectionFactory first = new HttpConnectionFactory(http);
        ServerConnector connector = listener.tls().isPresent()
                ? new ServerConnector(server, tls(listener.tls().get()), first)
                : new ServerConnector(server, first, new HTTP2CServerConnectionFactory(http));
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

    /** From now on the time runs in which the process has to end. */
    @Override
    public void askedToEnd() {
        askedAt.compareAndSet(null, clock.now());
    }

    /** Ends without cutting a request; when it returns, everything that was begun is answered, and the answers are written. */
    @Override
    public void drain() throws InterruptedException {
        LOGGER.log(Level.INFO, "node {0} drains", settings.node().vm());
        Duration grace = settings.shutdownGrace();
        askedToEnd();
        Instant close =
                askedAt.get().plus(grace).minus(GracePeriod.exitReserve(grace).dividedBy(2));
        callers.drain();
        control.submit(new Event.DrainStarted(askedAt.get()));
        boolean finished = runner.drained().await(untilMillis(close), TimeUnit.MILLISECONDS);
        callers.end();
        boolean written = callers.awaitAnswered(Duration.ofMillis(untilMillis(close)));
        if (!finished || !written) {
            LOGGER.log(
                    Level.WARNING,
                    "node {0} did not finish draining; decided: {1}, all answers written: {2}",
                    settings.node().vm(),
                    finished,
                    written);
        }
    }

    private long untilMillis(Instant end) {
        return Math.max(0, Duration.between(clock.now(), end).toMillis());
    }

    /** Closes all ports and ends all threads. */
    @Override
    public void stop() throws Exception {
        server.stop();
        kept.stop();
        fresh.stop();
        platformHttp.stop();
        link.close();
        control.close();
        threads.stop();
    }
}
