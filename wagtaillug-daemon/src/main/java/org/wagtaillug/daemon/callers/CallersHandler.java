package org.wagtaillug.daemon.callers;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.control.MonotonicClock;
import org.wagtaillug.node.Event;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/** Serves {@code POST /v1/templates/{template}/requests}, {@code /readyz} and {@code /healthz}. */
public final class CallersHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH_PREFIX = "/v1/templates/";
    private static final String PATH_SUFFIX = "/requests";

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Exchanges exchanges;
    private final Consumer<Event> events;
    private final MonotonicClock clock;
    private final BooleanSupplier ready;
    private final Limits limits;
    private final PendingAnswers pendingAnswers = new PendingAnswers();
    private final Set<CompletableFuture<byte[]>> bodies = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;
    private volatile boolean refusingAll;

    /**
     * The limits of one request.
     *
     * @param bodyBytes the maximum length of the body
     * @param senderTimeout the maximum time from the header to the end of the body
     */
    public record Limits(int bodyBytes, Duration senderTimeout) {}

    /**
     * Creates a handler that passes requests to {@code events} and registers them in {@code exchanges} for their
     * answers.
     */
    public CallersHandler(
            Exchanges exchanges, Consumer<Event> events, MonotonicClock clock, BooleanSupplier ready, Limits limits) {
        this.exchanges = exchanges;
        this.events = events;
        this.clock = clock;
        this.ready = ready;
        this.limits = limits;
    }

    /** Closes each connection after its next answer, so that the next request goes to another node. */
    public void drain() {
        draining = true;
        exchanges.closeAfterAnswers();
    }

    /** Refuses every request from now on as not executed, including those whose body is still being received. */
    public void refuseAll() {
        refusingAll = true;
        for (CompletableFuture<byte[]> body : bodies) {
            body.cancel(false);
        }
    }

    /**
     * Waits until the answers to all received requests are completely written.
     *
     * @return false on a time-out
     */
    public boolean awaitAnswers(Duration timeout) throws InterruptedException {
        return pendingAnswers.awaitEmpty(timeout);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (draining) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        switch (path) {
            case "/healthz" -> plainText(response, callback, true, "alive");
            case "/readyz" ->
                plainText(response, callback, ready.getAsBoolean(), ready.getAsBoolean() ? "ready" : "not ready");
            default -> {
                return handleTemplateRequest(path, request, response, callback);
            }
        }
        return true;
    }

    private static void plainText(Response response, Callback callback, boolean healthy, String text) {
        response.setStatus(healthy ? 200 : 503);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        Content.Sink.write(response, true, text + "\n", callback);
    }

    private boolean handleTemplateRequest(String path, Request request, Response response, Callback callback) {
        boolean matches = path.startsWith(PATH_PREFIX)
                && path.endsWith(PATH_SUFFIX)
                && path.length() > PATH_PREFIX.length() + PATH_SUFFIX.length();
        if (!matches || !HttpMethod.POST.is(request.getMethod())) {
            return false;
        }
        read(path, request, response, pendingAnswers.count(callback));
        return true;
    }

    private void read(String path, Request request, Response response, Callback callback) {
        if (request.getLength() > limits.bodyBytes()) {
            refuse(tooLarge(), response, callback);
            return;
        }
        String template = path.substring(PATH_PREFIX.length(), path.length() - PATH_SUFFIX.length());
        CompletableFuture<byte[]> body = new CompletableFuture<>();
        bodies.add(body);
        if (refusingAll) {
            body.cancel(false);
        }
        Content.Source.asByteArrayAsync(request, limits.bodyBytes(), completing(body));
        body.orTimeout(limits.senderTimeout().toMillis(), TimeUnit.MILLISECONDS).whenComplete((bytes, fault) -> {
            bodies.remove(body);
            onBodyRead(template, bytes, fault, new Exchange(request, response, callback));
        });
    }

    private static Promise.Invocable<byte[]> completing(CompletableFuture<byte[]> body) {
        return new Promise.Invocable.NonBlocking<>() {
            @Override
            public void succeeded(byte[] bytes) {
                body.complete(bytes);
            }

            @Override
            public void failed(Throwable fault) {
                body.completeExceptionally(fault);
            }
        };
    }

    private record Exchange(Request request, Response response, Callback callback) {}

    private void onBodyRead(String template, byte[] bytes, Throwable fault, Exchange exchange) {
        if (fault != null) {
            refuse(bodyRefusal(fault), exchange.response(), exchange.callback());
            return;
        }
        var now = clock.now();
        Either<Refusal, RequestReader.ParsedRequest> read =
                RequestReader.read(template, exchange.request().getHeaders(), bytes, now);
        if (read.isLeft()) {
            refuse(read.getLeft(), exchange.response(), exchange.callback());
            return;
        }
        CallerExchange caller = new CallerExchange(
                read.get().request(), read.get().body(), now, exchange.response(), exchange.callback());
        if (draining) {
            caller.closeAfterAnswer();
        }
        if (!exchanges.add(caller)) {
            String message = "request \"" + caller.request().id() + "\" is in flight; expected an id of its own";
            refuse(
                    Refusal.notRun(ResultCode.REQUEST_IN_FLIGHT, Duration.ZERO, message),
                    exchange.response(),
                    exchange.callback());
            return;
        }
        // Requests end at their deadline, not when the connection is idle until the answer: if it were closed while the
        // work continues, the caller would not learn the outcome.
        exchange.request().addIdleTimeoutListener(timeout -> false);
        caller.onDisconnect(this::onDisconnect, exchange.request());
        events.accept(new Event.RequestArrived(caller.request()));
    }

    private void onDisconnect(CallerExchange caller) {
        events.accept(new Event.CallerDisconnected(caller.request().id()));
    }

    private Refusal tooLarge() {
        String message = "the body is too long; expected at most " + limits.bodyBytes() + " bytes";
        return Refusal.notRun(ResultCode.TOO_LARGE, Duration.ZERO, message);
    }

    private Refusal bodyRefusal(Throwable fault) {
        if (fault instanceof TimeoutException) {
            String message =
                    "the body was not complete within " + limits.senderTimeout().toMillis() + " ms";
            return Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, message);
        }
        if (fault instanceof CancellationException) {
            return Refusal.notRun(
                    ResultCode.SHUTTING_DOWN, RETRY_AFTER, "the node is shutting down; retry on another node");
        }
        boolean tooLong = fault instanceof IllegalStateException || fault.getCause() instanceof IllegalStateException;
        return tooLong ? tooLarge() : Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, "the body is incomplete");
    }

    private static void refuse(Refusal refusal, Response response, Callback callback) {
        var answer = Json.object();
        answer.put("result_code", refusal.code().number());
        CallerExchange.describe(answer, refusal);
        CallerExchange.retryAfter(response, refusal.retryAfter());
        response.setStatus(refusal.code().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(Json.write(answer)), callback);
    }
}
