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

/** Takes callers' requests of any host and path. */
final class RoutedHandler extends Handler.Abstract.NonBlocking {
    private final CallerTranslation translation;
    private final RoutedExchanges exchanges;
    private final CallerConnections connections;
    private final Consumer<ServingEvent> events;
    private final Set<Reading> readings = ConcurrentHashMap.newKeySet();
    private volatile CallerLimits limits = CallerLimits.DEFAULTS;

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

    /** A request whose body is being read; whoever takes it out of the set answers it. */
    private static final class Reading {
        private final Request request;
        private final Response response;
        private final RefusedBody refused;

        private Reading(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.refused = new RefusedBody(callback, request.getComponents().getScheduler());
        }
    }

    /** Sets what callers may send from now on. */
    void limits(CallerLimits newest) {
        limits = newest;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        connections.onRequest(request);
        // The deadline ends a request, not the silence until its answer.
        request.addIdleTimeoutListener(timeout -> false);
        int longest = limits.bodyBytes();
        if (request.getLength() > longest) {
            refuse(tooLarge(longest), request, response, callback);
            return true;
        }
        Reading reading = new Reading(request, response, callback);
        readings.add(reading);
        Content.Source.asByteArrayAsync(request, longest, new Promise.Invocable.NonBlocking<>() {
            @Override
            public void succeeded(byte[] body) {
                if (readings.remove(reading)) {
                    arrived(request, response, callback, body);
                } else {
                    reading.refused.onBodyOver();
                }
            }

            @Override
            public void failed(Throwable fault) {
                if (!readings.remove(reading)) {
                    reading.refused.onBodyOver();
                    return;
                }
                boolean large = fault instanceof IllegalStateException;
                Refusal refusal = large
                        ? tooLarge(longest)
                        : Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, "the body broke off");
                refuse(refusal, request, response, callback);
            }
        });
        return true;
    }

    /** Refuses requests whose bodies are still on their way: a body may take longer than the process has. */
    void refuseUnread() {
        for (Reading reading : readings) {
            if (readings.remove(reading)) {
                String message = "node is shutting down, retry on another node";
                Refusal refusal = Refusal.notRun(ResultCode.SHUTTING_DOWN, Duration.ZERO, message);
                Callback lingering = Callback.from(reading.refused::onWritten, reading.refused::onFailed);
                refuse(refusal, reading.request, reading.response, lingering);
            }
        }
    }

    private static Refusal tooLarge(int longest) {
        String message = "the body is too long; expected at most " + longest + " bytes";
        return Refusal.notRun(ResultCode.TOO_LARGE, Duration.ZERO, message);
    }

    private void arrived(Request request, Response response, Callback callback, byte[] body) {
        Either<Refusal, RoutedRequest> read =
                translation.read(host(request), request.getHttpURI().getPathQuery(), request.getHeaders());
        if (read.isLeft()) {
            refuse(read.getLeft(), request, response, callback);
            return;
        }
        RoutedExchange exchange = new RoutedExchange(
                read.get(), request, response, callback, body, connections, refusal -> head(refusal, request));
        if (!exchanges.add(exchange)) {
            String message =
                    "a request with the id \"" + read.get().id() + "\" is under way; expected an id of its own";
            refuse(Refusal.notRun(ResultCode.REQUEST_IN_FLIGHT, Duration.ZERO, message), request, response, callback);
            return;
        }
        events.accept(new ServingEvent.RequestArrived(exchange.routed()));
        exchange.watch(() -> callerLeft(exchange));
    }

    /** A request that is over may be asked again with its id while its first connection ends. */
    private void callerLeft(RoutedExchange exchange) {
        RequestId id = exchange.routed().id();
        if (exchanges.find(id).filter(open -> open == exchange).isPresent()) {
            events.accept(new ServingEvent.CallerLeft(id));
        }
    }

    private HttpFields head(Refusal refusal, Request request) {
        HttpFields.Mutable head = HttpFields.build();
        translation.refuse(refusal, request.getHeaders(), head);
        return head;
    }

    private static String host(Request request) {
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host == null ? "" : host;
    }

    /** Refuses a request that has no exchange. */
    private void refuse(Refusal refusal, Request request, Response response, Callback callback) {
        translation.refuse(refusal, request.getHeaders(), response.getHeaders());
        connections.onAnswer(response);
        response.setStatus(refusal.code().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, RoutedExchange.REFUSAL_TYPE);
        response.write(true, ByteBuffer.wrap(RoutedExchange.text(refusal)), callback);
    }
}
