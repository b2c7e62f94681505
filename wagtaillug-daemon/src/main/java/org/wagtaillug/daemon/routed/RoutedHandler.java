package org.wagtaillug.daemon.routed;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.wagtaillug.daemon.translation.CallerTranslation;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.serving.RoutedRequest;
import org.wagtaillug.serving.ServingEvent;

/** Receives the requests of callers, for any host and path. */
final class RoutedHandler extends Handler.Abstract.NonBlocking {
    private final CallerTranslation translation;
    private final RoutedExchanges exchanges;
    private final CallerConnections connections;
    private final Consumer<ServingEvent> events;
    private final Set<PendingBody> pendingBodies = ConcurrentHashMap.newKeySet();
    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    RoutedHandler(
            CallerTranslation translation,
            RoutedExchanges exchanges,
            CallerConnections connections,
            Consumer<ServingEvent> events) {
        this.translation = translation;
        this.exchanges = exchanges;
        this.connections = connections;
        this.events = events;
    }

    /** A request whose body is being read. The thread that removes it from the set answers it. */
    private static final class PendingBody {
        private final Request request;
        private final Response response;
        private final RefusedBody refusedBody;

        private PendingBody(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.refusedBody = new RefusedBody(callback, request.getComponents().getScheduler());
        }
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
        int maxBytes = limits.bodyBytes();
        if (request.getLength() > maxBytes) {
            refuse(tooLarge(maxBytes), request, response, callback);
            return true;
        }
        PendingBody pending = new PendingBody(request, response, callback);
        pendingBodies.add(pending);
        Content.Source.asByteArrayAsync(request, maxBytes, new Promise.Invocable.NonBlocking<>() {
            @Override
            public void succeeded(byte[] body) {
                if (pendingBodies.remove(pending)) {
                    onBodyRead(request, response, callback, body);
                } else {
                    pending.refusedBody.onBodyEnded();
                }
            }

            @Override
            public void failed(Throwable fault) {
                if (!pendingBodies.remove(pending)) {
                    pending.refusedBody.onBodyEnded();
                    return;
                }
                boolean tooLong = fault instanceof IllegalStateException;
                Refusal refusal = tooLong
                        ? tooLarge(maxBytes)
                        : Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, "the body is incomplete");
                refuse(refusal, request, response, callback);
            }
        });
        return true;
    }

    /**
     * Refuses requests whose bodies are incomplete: receiving a body may take longer than the remaining shutdown grace.
     */
    void refuseIncomplete() {
        for (PendingBody pending : pendingBodies) {
            if (pendingBodies.remove(pending)) {
                String message = "node is shutting down, retry on another node";
                Refusal refusal = Refusal.notRun(ResultCode.SHUTTING_DOWN, Duration.ZERO, message);
                Callback onResponseWritten =
                        Callback.from(pending.refusedBody::onWritten, pending.refusedBody::onWriteFailed);
                refuse(refusal, pending.request, pending.response, onResponseWritten);
            }
        }
    }

    private static Refusal tooLarge(int maxBytes) {
        String message = "the body is too long; expected at most " + maxBytes + " bytes";
        return Refusal.notRun(ResultCode.TOO_LARGE, Duration.ZERO, message);
    }

    private void onBodyRead(Request request, Response response, Callback callback, byte[] body) {
        Either<Refusal, RoutedRequest> read =
                translation.read(host(request), request.getHttpURI().getPathQuery(), request.getHeaders());
        if (read.isLeft()) {
            refuse(read.getLeft(), request, response, callback);
            return;
        }
        RoutedExchange exchange = new RoutedExchange(
                read.get(),
                request,
                response,
                callback,
                body,
                connections,
                refusal -> refusalHeaders(refusal, request));
        if (!exchanges.add(exchange)) {
            String message = "a request with id \"" + read.get().id() + "\" is in flight; expected a unique request id";
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
