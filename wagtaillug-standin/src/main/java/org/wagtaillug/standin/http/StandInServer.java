package org.wagtaillug.standin.http;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of one process, with one port per stand-in and a shared thread pool. Handles {@code POST /faults} and
 * applies the connection and outage faults before a call reaches its stand-in.
 *
 * <pre>
 * try (StandInServer server = new StandInServer(timers)) {
 *     server.add(engine, "127.0.0.1", 0);
 *     server.start();
 *     int port = server.port(engine);
 * }
 * </pre>
 */
public final class StandInServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int SPARE_THREADS = 24;
    private static final int MAX_THREADS = 400;
    private static final int SELECTORS = 1;
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;
    private static final long DISCONNECT_CHECK_MILLIS = 20;
    private static final int DEFAULT_RESTART_DURATION = -1;

    private final Timers timers;
    private final Server server;
    private final QueuedThreadPool threads;
    private final Map<StandIn, ServerConnector> connectors = new HashMap<>();
    private final Map<Connector, StandIn> standIns = new HashMap<>();
    private final Set<Exchange> open = ConcurrentHashMap.newKeySet();

    /** Creates a server without ports. */
    public StandInServer(Timers timers) {
        this.timers = timers;
        this.threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName("standin");
        threads.setDaemon(true);
        this.server = new Server(threads);
        server.setStopTimeout(0);
        server.setHandler(new RequestHandler());
    }

    /** Adds a stand-in on an address and port; port 0 selects a free port. Call before {@link #start}. */
    public void add(StandIn standIn, String address, int port) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 0, SELECTORS, new HttpConnectionFactory(configuration));
        connector.setHost(address);
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connectors.put(standIn, connector);
        standIns.put(connector, standIn);
        server.addConnector(connector);
    }

    /**
     * Opens all ports.
     *
     * @throws IOException if a port cannot be opened; the message names the stand-in, the address and the port
     */
    public void start() throws IOException {
        threads.setMinThreads(Math.min(MAX_THREADS, SELECTORS * connectors.size() + SPARE_THREADS));
        for (Map.Entry<StandIn, ServerConnector> entry : connectors.entrySet()) {
            open(entry.getKey(), entry.getValue());
        }
        try {
            server.start();
        } catch (Exception failure) {
            throw new IOException("cannot start the HTTP server: " + failure.getMessage(), failure);
        }
        timers.every(DISCONNECT_CHECK_MILLIS, this::detectDisconnects);
    }

    private static void open(StandIn standIn, ServerConnector connector) throws IOException {
        try {
            connector.open();
        } catch (IOException failure) {
            String endpoint = connector.getHost() + ":" + connector.getPort();
            throw new IOException(
                    standIn.name() + ": cannot listen on " + endpoint + ", expected a free port: "
                            + failure.getMessage(),
                    failure);
        }
    }

    /** Returns the port that a stand-in listens on. */
    public int port(StandIn standIn) {
        return connectors.get(standIn).getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the HTTP server", failure);
        }
    }

    private void detectDisconnects() {
        for (Exchange exchange : open) {
            exchange.detectDisconnect();
            if (exchange.isFinished()) {
                open.remove(exchange);
            }
        }
    }

    private void dispatch(StandIn standIn, Request request, Response response, Callback callback, byte[] body) {
        Exchange exchange = new Exchange(request, response, callback, body, standIn.faults(), timers);
        open.add(exchange);
        if (exchange.path().equals("/faults") && exchange.method().equals("POST")) {
            acceptFault(standIn, exchange);
            return;
        }
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (standIn.faults().isSilenced(endPoint)) {
            return;
        }
        if (standIn.faults().outage()) {
            exchange.refuse(503, standIn.name() + " is unavailable: outage fault is active");
            return;
        }
        if (standIn.allowsAnswerFaults(exchange)) {
            exchange.injectFault(standIn.faults().nextAnswerFault());
        }
        standIn.handle(exchange);
    }

    private void acceptFault(StandIn standIn, Exchange exchange) {
        Either<String, Fault> read = Fault.read(exchange.body());
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        apply(standIn, exchange, read.get());
        exchange.answer(200, new FaultAccepted(standIn.name(), read.get().toString()));
    }

    private void apply(StandIn standIn, Exchange exchange, Fault fault) {
        ActiveFaults activeFaults = standIn.faults();
        switch (fault) {
            case Fault.None none -> activeFaults.clear();
            case Fault.Outage outage -> activeFaults.startOutage();
            case Fault.Silent silent -> {
                List<EndPoint> others = new ArrayList<>(connectors.get(standIn).getConnectedEndPoints());
                others.remove(exchange.endPoint());
                exchange.closeAfterwards();
                activeFaults.silence(others);
            }
            case Fault.Slow slow -> activeFaults.slow(slow.factor());
            case Fault.Restart restart -> standIn.restart(restart.downMillis().orElse(DEFAULT_RESTART_DURATION));
            case Fault.Answers answers -> activeFaults.injectAnswerFault(answers);
        }
    }

    private record FaultAccepted(String name, String taken) {}

    private final class RequestHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandIn standIn = standIns.get(request.getConnectionMetaData().getConnector());
            Promise.Invocable<byte[]> body = Promise.Invocable.from(
                    getInvocationType(),
                    bytes -> dispatch(standIn, request, response, callback, bytes),
                    failure -> Response.writeError(
                            request, response, callback, 413, "request body is too large or truncated"));
            Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES, body);
            return true;
        }
    }
}
