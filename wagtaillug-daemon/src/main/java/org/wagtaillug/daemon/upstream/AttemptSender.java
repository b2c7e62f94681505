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
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.callers.CallerExchange;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.control.MonotonicClock;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.node.Event;

/**
 * Sends attempts to upstreams and reports how each ended, once.
 *
 * <p>What must happen once goes over a connection that is used for it alone: on a kept connection that the upstream
 * closes at the same moment nobody could tell whether the call had begun, and each such race would end as "unknown".
 * The client sends a request on a connection once; it never repeats one of which a byte was written.
 *
 * <p>Once an attempt was given up without a sign of an answer, the connections that are open to its upstream are not used
 * for new attempts: what made one of them silent has probably made the others silent as well, and each would cost another
 * request its attempt.
 */
public final class AttemptSender {
    private final HttpClient kept;
    private final HttpClient fresh;
    private final Exchanges exchanges;
    private final Consumer<Event> events;
    private final MonotonicClock clock;
    private final Executor traffic;
    private final Map<AttemptId, Sending> live = new ConcurrentHashMap<>();

    private record Sent(HttpClient client, Request request, AttemptListener listener) {}

    /** An attempt on its way out, which may be given up before its request exists. */
    private static final class Sending {
        private Optional<Sent> sent = Optional.empty();
        private boolean cancelled;

        /** Gives the attempt its request; false if it was given up before. */
        private synchronized boolean begin(Sent made) {
            sent = Optional.of(made);
            return !cancelled;
        }

        /** Gives the attempt up; what was sent for it, if anything was. */
        private synchronized Optional<Sent> cancel() {
            cancelled = true;
            return sent;
        }
    }

    /**
     * Sends over the given clients.
     *
     * @param kept keeps connections for idempotent work
     * @param fresh opens a connection for each call that may not use an open one
     * @param exchanges where a generating stage's tokens go
     * @param events takes progress and ends
     * @param clock tells whether an attempt's right to start has run out
     * @param traffic makes and sends the requests, so that the control thread does not
     */
    public AttemptSender(
            HttpClient kept,
            HttpClient fresh,
            Exchanges exchanges,
            Consumer<Event> events,
            MonotonicClock clock,
            Executor traffic) {
        this.kept = kept;
        this.fresh = fresh;
        this.exchanges = exchanges;
        this.events = events;
        this.clock = clock;
        this.traffic = traffic;
    }

    /** Sends an attempt, soon. */
    public void start(Attempt attempt) {
        Sending sending = new Sending();
        live.put(attempt.id(), sending);
        traffic.execute(() -> send(attempt, sending));
    }

    private void send(Attempt attempt, Sending sending) {
        Optional<CallerExchange> caller = exchanges.find(attempt.id().request());
        if (caller.isEmpty()) {
            forget(attempt.id());
            events.accept(new Event.AttemptEnded(attempt.id(), new AttemptEnd.NotStarted()));
            return;
        }
        HttpClient client = attempt.onNewConnection() ? fresh : kept;
        Request request = request(client, attempt, caller.get());
        AttemptListener listener =
                new AttemptListener(attempt, reader(attempt, caller.get()), clock, events, this::forget);
        if (!sending.begin(new Sent(client, request, listener))) {
            forget(attempt.id());
            events.accept(new Event.AttemptEnded(attempt.id(), new AttemptEnd.NotStarted()));
            return;
        }
        request.onRequestBegin(listener::onBegin)
                .onResponseBegin(listener::onResponse)
                .onResponseContent(listener::onContent)
                .send(listener::onComplete);
    }

    /** Gives up an attempt: its connection is closed. */
    public void cancel(AttemptId attempt) {
        Sending sending = live.get(attempt);
        Optional<Sent> begun = sending == null ? Optional.empty() : sending.cancel();
        if (begun.isEmpty()) {
            return;
        }
        Sent sent = begun.get();
        if (!sent.listener().answered()) {
            leaveConnections(sent);
        }
        sent.request().abort(new CancellationException("given up"));
    }

    /** Requests that run on the connections go on; those that are idle close at their idle timeout. */
    private static void leaveConnections(Sent sent) {
        sent.client().removeDestination(sent.client().resolveDestination(sent.request()));
    }

    private void forget(AttemptId attempt) {
        live.remove(attempt);
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
            generate(body, attempt, caller);
            return Json.write(body);
        }
        attempt.key().ifPresent(key -> body.put("idempotency_key", key.identity()));
        body.set("input", Json.read(attempt.input().bytes()).getOrElse(Json.object()));
        return Json.write(body);
    }

    private static void generate(ObjectNode body, Attempt attempt, CallerExchange caller) {
        attempt.stage().model().ifPresent(model -> body.put("model", model.value()));
        body.put("prompt", caller.inputText() + "\n" + attempt.input().text());
        body.put("max_tokens", caller.tokens());
        body.put("stream", true);
        body.put("resume_from", caller.nextToken(attempt.stage().id()));
        body.put("seed", caller.request().id().value().hashCode());
    }
}
