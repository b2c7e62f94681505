package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.serving.SendEnd;
import org.wagtaillug.serving.SendOrder;
import org.wagtaillug.serving.ServingEvent;

/**
 * Sends requests to upstreams, passes good answers on to callers and reports how each attempt ended, once.
 *
 * <p>What must run at most once goes over a connection that is used for it alone: on a kept connection that the upstream
 * closes at the same moment nobody could tell whether the request had begun, and bytes of an earlier answer that come late
 * could be taken for its answer.
 */
final class UpstreamCaller {
    /** At its deadline a request is given up by decision; the silence of its connection must not come first. */
    private static final Duration AFTER_DEADLINE = Duration.ofSeconds(1);

    private final HttpClient kept;
    private final HttpClient fresh;
    private final UpstreamTranslation translation;
    private final RoutedExchanges exchanges;
    private final Consumer<ServingEvent> events;
    private final Supplier<Instant> clock;
    private final Map<RequestId, Sending> live = new ConcurrentHashMap<>();

    /** An attempt on its way, which may be given up before its request exists. */
    private static final class Sending {
        private final int attempt;
        private Optional<Request> request = Optional.empty();
        private boolean givenUp;

        private Sending(int attempt) {
            this.attempt = attempt;
        }

        private synchronized boolean begin(Request made) {
            request = Optional.of(made);
            return !givenUp;
        }

        private synchronized Optional<Request> giveUp() {
            givenUp = true;
            return request;
        }
    }

    /**
     * Sends over the given clients.
     *
     * @param kept keeps connections
     * @param fresh closes each connection after its one request
     */
    UpstreamCaller(
            HttpClient kept,
            HttpClient fresh,
            UpstreamTranslation translation,
            RoutedExchanges exchanges,
            Consumer<ServingEvent> events,
            Supplier<Instant> clock) {
        this.kept = kept;
        this.fresh = fresh;
        this.translation = translation;
        this.exchanges = exchanges;
        this.events = events;
        this.clock = clock;
    }

    /** Sends without waiting for anything. */
    void send(SendOrder order) {
        Sending sending = new Sending(order.attempt());
        live.put(order.request(), sending);
        send(order, sending);
    }

    private void send(SendOrder order, Sending sending) {
        Optional<RoutedExchange> exchange = exchanges.find(order.request());
        if (exchange.isEmpty()) {
            ended(order, sending, new SendEnd.GivenUp());
            return;
        }
        Request request = request(order, exchange.get());
        if (!sending.begin(request)) {
            ended(order, sending, new SendEnd.GivenUp());
            return;
        }
        UpstreamAnswer answer = new UpstreamAnswer(
                order,
                exchange.get(),
                translation,
                () -> events.accept(new ServingEvent.AnswerStarted(order.request(), order.attempt())),
                end -> ended(order, sending, end));
        request.onRequestBegin(ignored -> answer.onSent())
                .onResponseHeaders(answer::onHead)
                .onResponseContent(answer::onContent)
                .send(answer::onComplete);
    }

    private Request request(SendOrder order, RoutedExchange exchange) {
        HttpClient client = order.freshConnection() ? fresh : kept;
        Duration left = Duration.between(clock.get(), order.deadline());
        Request request = client.newRequest(
                        order.upstream().host(), order.upstream().port())
                .method(exchange.method())
                .path(exchange.path())
                .headers(head -> {
                    translation.write(ConnectionHeaders.without(exchange.head()), order, left, head);
                    if (order.freshConnection()) {
                        head.put(HttpHeader.CONNECTION, "close");
                    }
                });
        if (!order.retryableElsewhere()) {
            // Silence is no reason to end what cannot go on elsewhere: its caller waits until the deadline.
            request.idleTimeout(Math.max(1, left.plus(AFTER_DEADLINE).toMillis()), TimeUnit.MILLISECONDS);
        }
        if (exchange.body().length > 0) {
            request.body(new BytesRequestContent((String) null, exchange.body()));
        }
        return request;
    }

    private void ended(SendOrder order, Sending sending, SendEnd end) {
        live.remove(order.request(), sending);
        events.accept(new ServingEvent.SendEnded(order.request(), order.attempt(), end));
    }

    /** Gives up an attempt: its connection is closed. */
    void giveUp(RequestId id, int attempt) {
        Sending sending = live.get(id);
        if (sending == null || sending.attempt != attempt) {
            return;
        }
        Optional<Request> begun = sending.giveUp();
        begun.ifPresent(request -> request.abort(new CancellationException("given up")));
    }
}
