package org.wagtaillug.daemon.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.callers.CallerExchange;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.node.Event;

/**
 * Sends attempts to upstreams and reports the end of each one once.
 *
 * <p>A call that must be executed at most once is sent on a connection of its own. On a reused connection that the
 * upstream closes at the same moment, it would be unknown whether execution has started, and each such race would end
 * as "unknown". The client sends a request on a connection once and never repeats one of which a byte was written.
 *
 * <p>When an attempt is cancelled before any part of its answer was received, the open connections to its upstream are
 * not used for new attempts: the cause of the silence probably affects the other connections too, and each would cost
 * another request an attempt.
 */
public final class AttemptSender {
    private final HttpClient pooledClient;
    private final HttpClient singleUseClient;
    private final Exchanges exchanges;
    private final Consumer<Event> events;
    private final LeaseClock clock;
    private final Executor traffic;
    private final Map<AttemptId, ActiveSend> activeSends = new ConcurrentHashMap<>();

    private record Sent(HttpClient client, Request request, AttemptListener listener) {}

    /** An attempt that may be cancelled before its request is created. */
    private static final class ActiveSend {
        private Optional<Sent> sent = Optional.empty();
        private boolean cancelled;

        /** Sets the request of the attempt; returns false if the attempt was cancelled before. */
        private synchronized boolean attach(Sent created) {
            sent = Optional.of(created);
            return !cancelled;
        }

        /** Cancels the attempt; returns its request, if there is one. */
        private synchronized Optional<Sent> cancel() {
            cancelled = true;
            return sent;
        }
    }

    /**
     * Creates a sender with the given clients.
     *
     * @param pooledClient reuses connections, for idempotent work
     * @param singleUseClient opens a connection for each call that must not use an open one
     * @param exchanges receive the tokens of generating stages
     * @param events receives progress and ends
     * @param clock tells whether the allowance to start an attempt has expired
     * @param traffic creates and sends the requests, so that the control thread does not
     */
    public AttemptSender(
            HttpClient pooledClient,
            HttpClient singleUseClient,
            Exchanges exchanges,
            Consumer<Event> events,
            LeaseClock clock,
            Executor traffic) {
        this.pooledClient = pooledClient;
        this.singleUseClient = singleUseClient;
        this.exchanges = exchanges;
        this.events = events;
        this.clock = clock;
        this.traffic = traffic;
    }

    /** Sends an attempt asynchronously. */
    public void start(Attempt attempt) {
        ActiveSend active = new ActiveSend();
        activeSends.put(attempt.id(), active);
        traffic.execute(() -> send(attempt, active));
    }

    private void send(Attempt attempt, ActiveSend active) {
        Optional<CallerExchange> caller = exchanges.find(attempt.id().request());
        if (caller.isEmpty()) {
            remove(attempt.id());
            events.accept(new Event.AttemptEnded(attempt.id(), new AttemptEnd.NotStarted()));
            return;
        }
        HttpClient client = attempt.onNewConnection() ? singleUseClient : pooledClient;
        Request request = request(client, attempt, caller.get());
        AttemptListener listener =
                new AttemptListener(attempt, reader(attempt, caller.get()), clock, events, this::remove);
        if (!active.attach(new Sent(client, request, listener))) {
            remove(attempt.id());
            events.accept(new Event.AttemptEnded(attempt.id(), new AttemptEnd.NotStarted()));
            return;
        }
        request.onRequestBegin(listener::onBegin)
                .onResponseBegin(listener::onResponse)
                .onResponseContent(listener::onContent)
                .send(listener::onComplete);
    }

    /** Cancels an attempt and closes its connection. */
    public void cancel(AttemptId attempt) {
        ActiveSend active = activeSends.get(attempt);
        Optional<Sent> toAbort = active == null ? Optional.empty() : active.cancel();
        if (toAbort.isEmpty()) {
            return;
        }
        Sent sent = toAbort.get();
        if (!sent.listener().responded()) {
            discardConnections(sent);
        }
        sent.request().abort(new CancellationException("attempt cancelled"));
    }

    /** Requests on the connections continue; idle connections close at their idle timeout. */
    private static void discardConnections(Sent sent) {
        sent.client().removeDestination(sent.client().resolveDestination(sent.request()));
    }

    private void remove(AttemptId attempt) {
        activeSends.remove(attempt);
    }

    private static AnswerReader reader(Attempt attempt, CallerExchange caller) {
        return switch (attempt.stage().work()) {
            case GENERATE -> new TokenReader(attempt, caller);
            case TRANSFORM, CALL -> new ValueReader(attempt);
        };
    }

    private static Request request(HttpClient client, Attempt attempt, CallerExchange caller) {
        Request request = client.newRequest(
                        attempt.upstream().host(), attempt.upstream().port())
                .method(HttpMethod.POST)
                .path(path(attempt))
                .headers(headers -> {
                    headers.put("Wagtaillug-Request", attempt.id().request().value());
                    headers.put("Wagtaillug-Attempt", attempt.id().toString());
                    headers.put("Wagtaillug-Priority", Integer.toString(attempt.priority()));
                })
                .body(new BytesRequestContent("application/json", body(attempt, caller)));
        if (attempt.onNewConnection()) {
            request.headers(headers -> headers.put(HttpHeader.CONNECTION, "close"));
        }
        return request;
    }

    private static String path(Attempt attempt) {
        return switch (attempt.stage().work()) {
            case GENERATE -> "/v1/completions";
            case TRANSFORM -> "/stages/" + attempt.stage().operation();
            case CALL -> "/" + attempt.stage().operation();
        };
    }

    private static byte[] body(Attempt attempt, CallerExchange caller) {
        ObjectNode body = Json.object();
        body.put("request", attempt.id().request().value());
        body.put("attempt", attempt.id().toString());
        if (attempt.stage().work() == StageWork.GENERATE) {
            putGenerateFields(body, attempt, caller);
            return Json.write(body);
        }
        attempt.key().ifPresent(key -> body.put("idempotency_key", key.identity()));
        body.set("input", Json.read(attempt.input().bytes()).getOrElse(Json.object()));
        return Json.write(body);
    }

    private static void putGenerateFields(ObjectNode body, Attempt attempt, CallerExchange caller) {
        attempt.stage().model().ifPresent(model -> body.put("model", model.value()));
        body.put("prompt", caller.inputText() + "\n" + attempt.input().text());
        body.put("max_tokens", caller.maxTokens());
        body.put("stream", true);
        body.put("resume_from", caller.nextToken(attempt.stage().id()));
        body.put("seed", caller.request().id().value().hashCode());
    }
}
