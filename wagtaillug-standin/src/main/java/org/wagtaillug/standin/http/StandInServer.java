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
 * The HTTP server of one process: one port for each stand-in, one shared thread pool. Takes the faults before the
 * stand-ins see a call.
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
    private static final int BODY_LIMIT = 16 * 1024 * 1024;
    private static final int SPARE_THREADS = 24;
    private static final int MAXIMUM_THREADS = 400;
    private static final int SELECTORS = 1;
    private static final long IDLE_MILLIS = 600_000;
    private static final long SWEEP_MILLIS = 20;
    private static final int OWN_RESTART_TIME = -1;

    private final Timers timers;
    private final Server server;
    private final QueuedThreadPool threads;
    private final Map<StandIn, ServerConnector> connectors = new HashMap<>();
    private final Map<Connector, StandIn> standIns = new HashMap<>();
    private final Set<Exchange> open = ConcurrentHashMap.newKeySet();

    /** Prepares a server without ports. */
    public StandInServer(Timers timers) {
        this.timers = timers;
        this.threads = new QueuedThreadPool(MAXIMUM_THREADS);
        threads.setName("standin");
        threads.setDaemon(true);
        this.server = new Server(threads);
        server.setStopTimeout(0);
        server.setHandler(new Door());
    }

    /** Adds a stand-in on an address and port; port 0 takes any free one. Call before {@link #start}. */
    public void add(StandIn standIn, String address, int port) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 0, SELECTORS, new HttpConnectionFactory(configuration));
        connector.setHost(address);
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_MILLIS);
        connectors.put(standIn, connector);
        standIns.put(connector, standIn);
        server.addConnector(connector);
    }

    /**
     * Opens all ports.
     *
     * @throws IOException when a port cannot be had; the message names the stand-in, the address and the port
     */
    public void start() throws IOException {
        threads.setMinThreads(Math.min(MAXIMUM_THREADS, SELECTORS * connectors.size() + SPARE_THREADS));
        for (Map.Entry<StandIn, ServerConnector> entry : connectors.entrySet()) {
            open(entry.getKey(), entry.getValue());
        }
        try {
            server.start();
        } catch (Exception failure) {
            throw new IOException("the server does not start: " + failure.getMessage(), failure);
        }
        timers.every(SWEEP_MILLIS, this::sweep);
    }

    private static void open(StandIn standIn, ServerConnector connector) throws IOException {
        try {
            connector.open();
        } catch (IOException failure) {
            String place = connector.getHost() + ":" + connector.getPort();
            throw new IOException(
                    standIn.name() + ": cannot listen on " + place + ", expected a free port: " + failure.getMessage(),
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
            throw new IllegalStateException("the server does not stop", failure);
        }
    }

    private void sweep() {
        for (Exchange exchange : open) {
            exchange.lookForClose();
            if (exchange.isFinished()) {
                open.remove(exchange);
            }
        }
    }

    private void accept(StandIn standIn, Request request, Response response, Callback callback, byte[] body) {
        Exchange exchange = new Exchange(request, response, callback, body, standIn.faults(), timers);
        open.add(exchange);
        if (exchange.path().equals("/faults") && exchange.method().equals("POST")) {
            takeFault(standIn, exchange);
            return;
        }
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (standIn.faults().isSilenced(endPoint)) {
            return;
        }
        if (standIn.faults().outage()) {
            exchange.refuse(503, standIn.name() + " is in an outage");
            return;
        }
        if (standIn.doesWork(exchange)) {
            exchange.spoil(standIn.faults().takeAnswerFault());
        }
        standIn.handle(exchange);
    }

    private void takeFault(StandIn standIn, Exchange exchange) {
        Either<String, Fault> read = Fault.read(exchange.body());
        if (read.isLeft()) {
            exchange.refuse(400, read.getLeft());
            return;
        }
        apply(standIn, exchange, read.get());
        exchange.answer(200, new FaultTaken(standIn.name(), read.get().toString()));
    }

    private void apply(StandIn standIn, Exchange exchange, Fault fault) {
        FaultGate gate = standIn.faults();
        switch (fault) {
            case Fault.None none -> gate.clear();
            case Fault.Outage outage -> gate.startOutage();
            case Fault.Silent silent -> {
                List<EndPoint> others = new ArrayList<>(connectors.get(standIn).getConnectedEndPoints());
                others.remove(exchange.endPoint());
                exchange.closeAfterwards();
                gate.silence(others);
            }
            case Fault.Slow slow -> gate.slow(slow.factor());
            case Fault.Restart restart -> standIn.restart(restart.downMillis().orElse(OWN_RESTART_TIME));
            case Fault.Answers answers -> gate.spoil(answers);
        }
    }

    private record FaultTaken(String name, String taken) {}

    private final class Door extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandIn standIn = standIns.get(request.getConnectionMetaData().getConnector());
            Promise.Invocable<byte[]> body = Promise.Invocable.from(
                    getInvocationType(),
                    bytes -> accept(standIn, request, response, callback, bytes),
                    failure -> Response.writeError(
                            request, response, callback, 413, "the body is too large or broken off"));
            Content.Source.asByteArrayAsync(request, BODY_LIMIT, body);
            return true;
        }
    }
}
