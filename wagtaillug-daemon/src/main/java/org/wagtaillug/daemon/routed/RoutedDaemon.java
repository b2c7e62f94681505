package org.wagtaillug.daemon.routed;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
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
import org.wagtaillug.daemon.ProcessRun;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.control.MonotonicClock;
import org.wagtaillug.daemon.translation.Translation;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LinkObserver;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.routing.UpstreamLimits;
import org.wagtaillug.serving.Serving;
import org.wagtaillug.serving.ServingEffect;
import org.wagtaillug.serving.ServingEvent;
import org.wagtaillug.serving.ServingSetup;
import org.wagtaillug.settings.RoutedSettings;
import org.wagtaillug.settings.SettingsProblem;

/**
 * A node that routes by host and path: the decisions, the frame around them, and their beginning and end.
 *
 * <pre>{@code
 * RoutedDaemon daemon = new RoutedDaemon(file, settings, decoder, client -> translation(client));
 * daemon.start();
 * }</pre>
 */
public final class RoutedDaemon implements ProcessRun.Life {
    private static final Logger LOGGER = System.getLogger(RoutedDaemon.class.getName());

    /** Callbacks do not block; on one core more threads only take memory. */
    private static final int THREADS = 10;

    private static final int SELECTORS = 1;

    /** A link delays by a few milliseconds; an opening packet that is lost is sent again after a second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Servers close idle connections after seconds; a connection that is closed first by us is never lost in between. */
    private static final Duration UPSTREAM_IDLE = Duration.ofSeconds(2);

    /** What all nodes together may open to a server is shared out by the decisions; this is only a backstop. */
    private static final int CONNECTIONS_EACH = 64;

    private static final int QUEUED_EACH = 256;

    private static final int LONGEST_HEAD = 16_384;
    private static final Duration LINK_SILENCE = Duration.ofSeconds(1);

    /** Connections that are idle when the ports close, those of the balancer and of metrics too. */
    private static final Duration IDLE_AT_STOP = Duration.ofMillis(50);

    /** How long the ports may take to close once all answers are written, at most. */
    private static final Duration LONGEST_STOP = Duration.ofMillis(200);

    /** The same as a part of a short grace. */
    private static final int STOP_PART_OF_GRACE = 16;

    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final Path file;
    private final RoutedSettings settings;
    private final MonotonicClock clock = new MonotonicClock();
    private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
    private final RoutedExchanges exchanges = new RoutedExchanges();
    private final RoutedMetrics metrics = new RoutedMetrics();
    private final HttpClient kept;
    private final HttpClient fresh;
    private final Translation translation;
    private final ControlThread<Serving, ServingEvent, ServingEffect> control;
    private final NodeId self;
    private final Server server;
    private DecisionLines decisions;
    private PeerLink link;
    private final CallerConnections connections = new CallerConnections();
    private final AtomicReference<Instant> askedAt = new AtomicReference<>();
    private ServerConnector callers;
    private RoutedHandler handler;
    private RoutedEffects effects;

    /**
     * Prepares a node; nothing runs before {@link #start}.
     *
     * @param file where the settings were read from
     * @param decoder reads the records of feeds
     * @param translate makes the translation, with the client that it may use for the store
     */
    public RoutedDaemon(
            Path file, RoutedSettings settings, RecordDecoder decoder, Function<HttpClient, Translation> translate) {
        this.file = file;
        this.settings = settings;
        threads.setName("traffic");
        self = new NodeId(settings.node().vm(), clock.now().toEpochMilli());
        kept = client();
        fresh = client();
        translation = translate.apply(kept);
        ServingSetup.Builder setup = ServingSetup.builder(self, settings.node().domain(), decoder)
                .retryLimits(new ServingSetup.RetryLimits(
                        settings.retryLimits().window(),
                        settings.retryLimits().ratio(),
                        settings.retryLimits().fixed()))
                .drainGrace(settings.shutdownGrace())
                .features(settings.features())
                .capacity(settings.capacity())
                .rolloutLimits(settings.rolloutLimits())
                .coldBound(new UpstreamLimits.ColdBound(
                        settings.coldBound().ratio(), settings.coldBound().fixed()));
        settings.seeds().forEach(setup::seed);
        control = new ControlThread<>(
                new Serving(setup.build()), Serving::handle, new ServingEvent.Tick(), clock, Serving::tickInterval);
        server = new Server(threads);
    }

    private HttpClient client() {
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(new UpstreamConnector());
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(UPSTREAM_IDLE.toMillis());
        client.setMaxConnectionsPerDestination(CONNECTIONS_EACH);
        client.setMaxRequestsQueuedPerDestination(QUEUED_EACH);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        return client;
    }

    /** Starts everything; when it returns, all ports listen. */
    @Override
    public void start() throws Exception {
        threads.start();
        start(kept);
        start(fresh);
        decisions = new DecisionLines();
        handler = new RoutedHandler(translation.callers(), exchanges, connections, control::submit);
        link = openLink();
        effects = new RoutedEffects(new RoutedEffects.Parts(
                exchanges,
                handler,
                () -> connections.closeIdle(callers),
                new UpstreamCaller(kept, fresh, translation.upstreams(), exchanges, control::submit, clock::now),
                new BatchCaller(kept, translation.stages(), control::submit),
                translation,
                link,
                settings.listeners().link().port(),
                settings.node().domain(),
                control::submit,
                decisions,
                metrics,
                clock::now));
        control.start(effects);
        listen();
        LOGGER.log(Level.INFO, "node {0} listens", settings.node().name());
    }

    /** Answers go on as they come: nothing in the client may follow, decode or answer by itself. */
    private static void start(HttpClient client) throws Exception {
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
    }

    private PeerLink openLink() {
        return PeerLink.builder(self)
                .bind(
                        settings.listeners().link().host(),
                        settings.listeners().link().port())
                .acknowledgementTimeout(LINK_SILENCE)
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
        callers = connector(settings.listeners().callers());
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
        response.setStatus(effects.ready() ? READY : NOT_READY);
        response.write(true, null, callback);
        return true;
    }

    private boolean metrics(Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        byte[] text = metrics.text().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(text), callback);
        return true;
    }

    private ServerConnector connector(RoutedSettings.Address address) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(LONGEST_HEAD);
        ServerConnector connector =
                new ServerConnector(server, null, null, null, 0, SELECTORS, new HttpConnectionFactory(http));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(CallerConnections.IDLE.toMillis());
        connector.setShutdownIdleTimeout(IDLE_AT_STOP.toMillis());
        return connector;
    }

    /** From now on the time runs in which the process has to end. */
    @Override
    public void askedToEnd() {
        askedAt.compareAndSet(null, clock.now());
    }

    private Duration stopTimeout() {
        Duration part = settings.shutdownGrace().dividedBy(STOP_PART_OF_GRACE);
        return part.compareTo(LONGEST_STOP) < 0 ? part : LONGEST_STOP;
    }

    /**
     * Ends without cutting a request. When it returns, everything that was begun is answered and written, or the time is
     * over. While a slow caller still reads its answer, requests that fit into what is left are served.
     */
    @Override
    public void drain() throws InterruptedException {
        LOGGER.log(Level.INFO, "node {0} shuts down", settings.node().name());
        askedToEnd();
        Instant over = askedAt.get().plus(settings.shutdownGrace());
        connections.closeAfterAnswers();
        control.submit(new ServingEvent.DrainStarted(askedAt.get()));
        boolean decided = effects.drained().await(left(over), TimeUnit.MILLISECONDS);
        Instant stop = over.minus(stopTimeout());
        connections.awaitWritten(left(stop.minus(stopTimeout())));
        control.submit(new ServingEvent.PortsClosing());
        handler.refuseUnread();
        boolean written = connections.awaitWritten(left(stop));
        if (!decided || !written) {
            LOGGER.log(
                    Level.WARNING,
                    "node {0} did not finish in time",
                    settings.node().name());
        }
    }

    private long left(Instant until) {
        return Math.max(0, Duration.between(clock.now(), until).toMillis());
    }

    /** Says whether the settings file differs from what this process runs with; a restart takes what has changed. */
    @Override
    public void reload() {
        Either<List<SettingsProblem>, RoutedSettings> read = RoutedSettings.load(file);
        if (read.isLeft()) {
            LOGGER.log(Level.ERROR, "reload: the settings are wrong, the old ones hold: {0}", read.getLeft());
            return;
        }
        String outcome = read.get().equals(settings) ? "nothing has changed" : "changes hold from the next start";
        LOGGER.log(Level.INFO, "reload: {0}", outcome);
    }

    /** Closes all ports and ends all threads. */
    @Override
    public void stop() throws Exception {
        try {
            server.stop();
        } catch (TimeoutException open) {
            LOGGER.log(Level.WARNING, "connections were still open when the ports closed: {0}", open);
        }
        kept.stop();
        fresh.stop();
        link.close();
        control.close();
        decisions.close();
        threads.stop();
    }
}
