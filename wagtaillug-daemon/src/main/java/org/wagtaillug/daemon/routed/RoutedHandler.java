package org.wagtaillug.daemon.routed;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wagtaillug.daemon.body.BodyEnd;
import org.wagtaillug.daemon.body.BodyMemory;
import org.wagtaillug.daemon.body.PendingBodies;
import org.wagtaillug.daemon.body.RequestBody;
import org.wagtaillug.daemon.translation.CallerTranslation;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.node.Decision;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.serving.RoutedRequest;
import org.wagtaillug.serving.ServingEvent;

/** Receives the requests of callers, for any host and path. */
final class RoutedHandler extends Handler.Abstract.NonBlocking {
    /** Upper limit of the time to receive a body, for callers that wait longer for their answer or name no time. */
    private static final Duration MAX_BODY_TIME = Duration.ofMinutes(1);

    private final CallerTranslation translation;
    private final RoutedExchanges exchanges;
    private final CallerConnections connections;
    private final Consumer<ServingEvent> events;
    private final Supplier<Instant> clock;
    private final ReaderLimits readerLimits;
    private final BodyMemory bodyMemory;
    private final Consumer<Decision> decisions;
    private final PendingBodies pendingBodies = new PendingBodies();
    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    RoutedHandler(
            CallerTranslation translation,
            RoutedExchanges exchanges,
            CallerConnections connections,
            Consumer<ServingEvent> events,
            Supplier<Instant> clock,
            ReaderLimits readerLimits,
            BodyMemory bodyMemory,
            Consumer<Decision> decisions) {
        this.translation = translation;
        this.exchanges = exchanges;
        this.connections = connections;
        this.events = events;
        this.clock = clock;
        this.readerLimits = readerLimits;
        this.bodyMemory = bodyMemory;
        this.decisions = decisions;
    }

    /** Sets the limits for callers. */
    void limits(CallerLimits updated) {
        limits = updated;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        connections.onRequest(request);
        // Requests end at their deadline, not when the connection is idle until the answer.
        request.addIdleTimeoutListener(timeout -> false);
        Instant headReadAt = clock.get();
        Either<Refusal, RoutedRequest> head =
                translation.read(host(request), request.getHttpURI().getPathQuery(), request.getHeaders());
        int maxBytes = limits.bodyBytes();
        RequestBody body = new RequestBody(request, callback, maxBytes, bodyMemory, (self, end, completion) -> {
            pendingBodies.remove(self);
            onBodyEnd(end, maxBytes, new Exchange(head, headReadAt, request, response, completion));
        });
        pendingBodies.add(body, headReadAt);
        body.receive();
        body.endAfter(head.fold(refusal -> MAX_BODY_TIME, RoutedHandler::maxBodyTime), new BodyEnd.TimedOut());
        return true;
    }

    /** A caller that sends its body for longer than it waits for the answer cannot be served. */
    private static Duration maxBodyTime(RoutedRequest request) {
        return request.callerTimeout().compareTo(MAX_BODY_TIME) < 0 ? request.callerTimeout() : MAX_BODY_TIME;
    }

    /** A request whose head has been read at a time. */
    private record Exchange(
            Either<Refusal, RoutedRequest> head,
            Instant headReadAt,
            Request request,
            Response response,
            Callback callback) {}

    private void onBodyEnd(BodyEnd end, int maxBytes, Exchange exchange) {
        switch (end) {
            case BodyEnd.Received body -> onBodyRead(exchange, body.bytes());
            case BodyEnd.TooLong ignored -> refuseUnread(tooLarge(maxBytes), exchange);
            case BodyEnd.NoMemory ignored -> refuseUnread(BodyMemory.FULL, exchange);
            case BodyEnd.Incomplete ignored -> refuseUnread(bodyCut("the body is incomplete"), exchange);
            case BodyEnd.TimedOut ignored -> refuseUnread(bodyCut("the body was not complete in time"), exchange);
            case BodyEnd.ShutDown ignored -> refuseUnread(shuttingDown(), exchange);
        }
    }

    private static Refusal shuttingDown() {
        String message = "node is shutting down, retry on another node";
        return Refusal.notRun(ResultCode.SHUTTING_DOWN, Duration.ZERO, message);
    }

    private static Refusal bodyCut(String message) {
        return Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, message);
    }

    /** Refuses a request whose body may still be coming; its connection cannot be used again. */
    private void refuseUnread(Refusal refusal, Exchange exchange) {
        decisions.accept(Decision.builder("body_refused")
                .field("request", exchange.head().fold(malformed -> "", routed -> routed.id()))
                .field("reason", refusal.code())
                .field("length", exchange.request().getLength())
                .field("all_bodies", bodyMemory.used())
                .build());
        exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
        refuse(refusal, exchange.request(), exchange.response(), exchange.callback());
    }

    /**
     * Refuses requests whose bodies are not complete at a time: receiving them may take longer than the remaining
     * shutdown grace, and callers need time to read the refusal.
     */
    void refuseIncompleteAt(Instant end) {
        pendingBodies.endAt(end, clock.get());
    }

    /** Refuses requests whose bodies are incomplete, and all that arrive from now on. */
    void refuseIncomplete() {
        pendingBodies.endAll();
    }

    private static Refusal tooLarge(int maxBytes) {
        String message = "the body is too long; expected at most " + maxBytes + " bytes";
        return Refusal.notRun(ResultCode.TOO_LARGE, Duration.ZERO, message);
    }

    private void onBodyRead(Exchange received, byte[] body) {
        Request request = received.request();
        Response response = received.response();
        Callback callback = received.callback();
        if (received.head().isLeft()) {
            refuse(received.head().getLeft(), request, response, callback);
            return;
        }
        RoutedRequest routed = received.head().get().after(Duration.between(received.headReadAt(), clock.get()));
        RoutedExchange exchange = new RoutedExchange(
                routed,
                request,
                response,
                callback,
                body,
                connections,
                refusal -> refusalHeaders(refusal, request),
                readerLimits);
        if (!exchanges.add(exchange)) {
            String message = "a request with id \"" + routed.id() + "\" is in flight; expected a unique request id";
            refuse(Refusal.notRun(ResultCode.REQUEST_IN_FLIGHT, Duration.ZERO, message), request, response, callback);
            return;
        }
        events.accept(new ServingEvent.RequestArrived(exchange.routed()));
        exchange.watch(() -> onCallerDisconnected(exchange));
    }

    /**
     * After its request has ended, a caller may send another one with the same id while its first connection closes.
     */
    private void onCallerDisconnected(RoutedExchange exchange) {
        RequestId id = exchange.routed().id();
        if (exchanges.find(id).filter(open -> open == exchange).isPresent()) {
            events.accept(new ServingEvent.CallerDisconnected(id));
        }
    }

    private HttpFields refusalHeaders(Refusal refusal, Request request) {
        HttpFields.Mutable refusalHeaders = HttpFields.build();
        translation.addRefusalHeaders(refusal, request.getHeaders(), refusalHeaders);
        return refusalHeaders;
    }

    private static String host(Request request) {
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host == null ? "" : host;
    }

    /** Refuses a request that has no exchange yet. */
    private void refuse(Refusal refusal, Request request, Response response, Callback callback) {
        translation.addRefusalHeaders(refusal, request.getHeaders(), response.getHeaders());
        connections.addCloseHeader(response);
        response.setStatus(refusal.code().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, RoutedExchange.REFUSAL_TYPE);
        response.write(true, ByteBuffer.wrap(RoutedExchange.text(refusal)), callback);
    }
}
