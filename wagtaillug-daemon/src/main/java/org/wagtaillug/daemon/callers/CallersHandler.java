package org.wagtaillug.daemon.callers;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.body.BodyEnd;
import org.wagtaillug.daemon.body.BodyMemory;
import org.wagtaillug.daemon.body.PendingBodies;
import org.wagtaillug.daemon.body.RequestBody;
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
    private final LeaseClock clock;
    private final BooleanSupplier ready;
    private final Limits limits;
    private final PendingAnswers pendingAnswers = new PendingAnswers();
    private final BodyMemory bodyMemory = BodyMemory.ofHeap(Runtime.getRuntime().maxMemory());
    private final PendingBodies pendingBodies = new PendingBodies();
    private volatile boolean draining;

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
            Exchanges exchanges, Consumer<Event> events, LeaseClock clock, BooleanSupplier ready, Limits limits) {
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

    /** Refuses requests as not executed whose bodies are not complete at a time. */
    public void refuseIncompleteAt(Instant end) {
        pendingBodies.endAt(end, clock.now());
    }

    /** Refuses every request from now on as not executed, including those whose body is still being received. */
    public void refuseAll() {
        pendingBodies.endAll();
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
        String template = path.substring(PATH_PREFIX.length(), path.length() - PATH_SUFFIX.length());
        RequestBody body =
                new RequestBody(request, callback, limits.bodyBytes(), bodyMemory, (self, end, completion) -> {
                    pendingBodies.remove(self);
                    onBodyEnd(template, end, new Exchange(request, response, completion));
                });
        pendingBodies.add(body, clock.now());
        body.endAfter(limits.senderTimeout(), new BodyEnd.TimedOut());
        body.receive();
    }

    private record Exchange(Request request, Response response, Callback callback) {}

    private void onBodyEnd(String template, BodyEnd end, Exchange exchange) {
        switch (end) {
            case BodyEnd.Received body -> onBodyRead(template, body.bytes(), exchange);
            case BodyEnd.TooLong ignored -> refuseUnread(tooLarge(), exchange);
            case BodyEnd.NoMemory ignored -> refuseUnread(BodyMemory.FULL, exchange);
            case BodyEnd.TimedOut ignored -> refuseUnread(tooSlow(), exchange);
            case BodyEnd.Incomplete ignored -> refuseUnread(bodyCut("the body is incomplete"), exchange);
            case BodyEnd.ShutDown ignored -> refuseUnread(shuttingDown(), exchange);
        }
    }

    private void onBodyRead(String template, byte[] bytes, Exchange exchange) {
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

    private Refusal tooSlow() {
        return bodyCut(
                "the body was not complete within " + limits.senderTimeout().toMillis() + " ms");
    }

    private static Refusal shuttingDown() {
        return Refusal.notRun(
                ResultCode.SHUTTING_DOWN, RETRY_AFTER, "the node is shutting down; retry on another node");
    }

    private static Refusal bodyCut(String message) {
        return Refusal.notRun(ResultCode.BODY_CUT, Duration.ZERO, message);
    }

    /** Refuses a request whose body may still be coming; its connection cannot be used again. */
    private static void refuseUnread(Refusal refusal, Exchange exchange) {
        exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
        refuse(refusal, exchange.response(), exchange.callback());
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
