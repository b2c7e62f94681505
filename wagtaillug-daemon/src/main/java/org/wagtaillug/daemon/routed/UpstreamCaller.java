package org.wagtaillug.daemon.routed;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.daemon.tunnel.PeerTunnels;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.serving.SendEnd;
import org.wagtaillug.serving.SendOrder;
import org.wagtaillug.serving.ServingEvent;
import org.wagtaillug.serving.UpstreamPath;

/**
 * Sends requests to upstreams, forwards successful answers to callers and reports the end of each attempt once.
 *
 * <p>A request that must be executed at most once is sent on a connection of its own. On a reused connection that the
 * upstream closes at the same moment, it would be unknown whether execution has started, and late bytes of an earlier
 * answer could be taken for its answer.
 */
final class UpstreamCaller {
    /**
     * The control thread cancels a request at its deadline; the idle timeout of its connection must not expire earlier.
     */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    /** The part of the heap that incomplete answers may take; a growing one takes several times its length. */
    private static final int HEAP_DIVISOR = 16;

    private final HttpClient pooledClient;
    private final HttpClient singleUseClient;
    private final PeerTunnels tunnels;
    private final UpstreamTranslation translation;
    private final RoutedExchanges exchanges;
    private final Consumer<ServingEvent> events;
    private final Supplier<Instant> clock;
    private final AnswerMemory memory = new AnswerMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private final Map<RequestId, ActiveSend> activeSends = new ConcurrentHashMap<>();

    /** An attempt that may be cancelled before its request is created. */
    private static final class ActiveSend {
        private final int attempt;
        private Optional<Request> request = Optional.empty();
        private boolean cancelled;

        private ActiveSend(int attempt) {
            this.attempt = attempt;
        }

        private synchronized boolean attach(Request created) {
            request = Optional.of(created);
            return !cancelled;
        }

        private synchronized Optional<Request> cancel() {
            cancelled = true;
            return request;
        }
    }

    /**
     * Creates a sender with the given clients.
     *
     * @param pooledClient reuses connections
     * @param singleUseClient closes each connection after its only request
     * @param tunnels the tunnels of {@code singleUseClient}
     */
    UpstreamCaller(
            HttpClient pooledClient,
            HttpClient singleUseClient,
            PeerTunnels tunnels,
            UpstreamTranslation translation,
            RoutedExchanges exchanges,
            Consumer<ServingEvent> events,
            Supplier<Instant> clock) {
        this.pooledClient = pooledClient;
        this.singleUseClient = singleUseClient;
        this.tunnels = tunnels;
        this.translation = translation;
        this.exchanges = exchanges;
        this.events = events;
        this.clock = clock;
    }

    /** Sends a request without blocking. */
    void send(SendOrder order) {
        ActiveSend active = new ActiveSend(order.attempt());
        activeSends.put(order.request(), active);
        send(order, active);
    }

    private void send(SendOrder order, ActiveSend active) {
        Optional<RoutedExchange> exchange = exchanges.find(order.request());
        if (exchange.isEmpty() || !exchange.get().startAttempt()) {
            onEnded(order, active, new SendEnd.GivenUp(), Optional.empty());
            return;
        }
        Request request = request(order, exchange.get());
        if (!active.attach(request)) {
            onEnded(order, active, new SendEnd.GivenUp(), Optional.empty());
            return;
        }
        UpstreamAnswer answer = new UpstreamAnswer(order, exchange.get(), translation, memory, listener(order, active));
        ExchangeBytes bytes = exchange.get().bytes();
        request.onRequestBegin(ignored -> answer.onSent())
                .onResponseHeaders(answer::onHeaders)
                .onResponseContentAsync((response, chunk, demander) -> {
                    int length = chunk.remaining();
                    answer.onContent(response, chunk.getByteBuffer());
                    bytes.demand(length, demander);
                })
                .send(result -> {
                    bytes.stopDemand();
                    answer.onComplete(result);
                });
    }

    private UpstreamAnswer.Listener listener(SendOrder order, ActiveSend active) {
        return new UpstreamAnswer.Listener() {
            @Override
            public void onStarted(Optional<UpstreamNotice> notice) {
                events.accept(new ServingEvent.AnswerStarted(order.request(), order.attempt(), notice));
            }

            @Override
            public void onEventPassed() {
                events.accept(new ServingEvent.EventPassed(order.request(), order.attempt()));
            }

            @Override
            public void onEnded(SendEnd end, Optional<UpstreamNotice> notice) {
                UpstreamCaller.this.onEnded(order, active, end, notice);
            }
        };
    }

    private Request request(SendOrder order, RoutedExchange exchange) {
        boolean direct = order.path() instanceof UpstreamPath.Direct;
        HttpClient client = direct && !order.freshConnection() ? pooledClient : singleUseClient;
        Duration remaining = Duration.between(clock.get(), order.deadline());
        Request request = client.newRequest(
                        order.upstream().host(), order.upstream().port())
                .method(exchange.method())
                .path(exchange.path())
                .headers(headers -> {
                    translation.write(ConnectionHeaders.forwardable(exchange.head()), order, remaining, headers);
                    if (client == singleUseClient) {
                        headers.put(HttpHeader.CONNECTION, "close");
                    }
                });
        if (order.path() instanceof UpstreamPath.ThroughPeer through) {
            tunnels.route(request, through.peer(), order.upstream());
        }
        if (!order.retryableElsewhere()) {
            // An idle connection is no reason to cancel a request that cannot be retried elsewhere: its caller waits
            // until the deadline.
            request.idleTimeout(Math.max(1, remaining.plus(IDLE_MARGIN).toMillis()), TimeUnit.MILLISECONDS);
        }
        if (exchange.body().length > 0) {
            addBody(request, exchange);
        }
        return request;
    }

    private static void addBody(Request request, RoutedExchange exchange) {
        ExchangeBytes bytes = exchange.bytes();
        if (!bytes.limited()) {
            request.body(new BytesRequestContent((String) null, exchange.body()));
            return;
        }
        // In parts, so that the progress of an upstream that reads slowly is seen.
        List<ByteBuffer> parts = new ArrayList<>();
        int length = exchange.body().length;
        for (int start = 0; start < length; start += HeldBytes.PART_BYTES) {
            parts.add(ByteBuffer.wrap(exchange.body(), start, Math.min(HeldBytes.PART_BYTES, length - start)));
        }
        request.body(new ByteBufferRequestContent((String) null, parts))
                .onRequestContent((ignored, part) -> bytes.onBodyRead(part.remaining()));
    }

    private void onEnded(SendOrder order, ActiveSend active, SendEnd end, Optional<UpstreamNotice> notice) {
        activeSends.remove(order.request(), active);
        events.accept(new ServingEvent.SendEnded(order.request(), order.attempt(), end, notice));
    }

    /** Cancels an attempt and closes its connection. */
    void cancel(RequestId id, int attempt) {
        ActiveSend active = activeSends.get(id);
        if (active == null || active.attempt != attempt) {
            return;
        }
        Optional<Request> toAbort = active.cancel();
        toAbort.ifPresent(request -> request.abort(new CancellationException("attempt cancelled")));
    }
}
