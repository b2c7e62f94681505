package org.wagtaillug.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtaillug.standin.http.ActiveFaults;
import org.wagtaillug.standin.http.Exchange;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.http.StandIn;
import org.wagtaillug.standin.http.StandInServer;
import org.wagtaillug.standin.http.Timers;

/** Answers callers like a node; the name of the template selects the behaviour. */
final class FakeNode implements StandIn, AutoCloseable {
    private static final int TOKENS = 3;

    private final Timers timers = new Timers();
    private final StandInServer server = new StandInServer(timers);
    private final ActiveFaults faults = new ActiveFaults();
    private final boolean ready;
    final Set<String> requests = ConcurrentHashMap.newKeySet();
    final Set<String> keys = ConcurrentHashMap.newKeySet();
    final AtomicInteger executionsOfEachKey = new AtomicInteger(1);

    /** While set, connections are aborted instead of answered. */
    volatile boolean abortsConnections;

    /** How long the answer to a probe of the readiness takes. */
    volatile long probeMillis;

    /** While set, requests are refused with a retry delay. */
    volatile boolean refusesWithRetry;

    private FakeNode(boolean ready) throws IOException {
        this.ready = ready;
        server.add(this, "127.0.0.1", 0);
        server.start();
    }

    static FakeNode start(boolean ready) throws IOException {
        return new FakeNode(ready);
    }

    String url() {
        return "http://127.0.0.1:" + server.port(this);
    }

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String kind() {
        return "node";
    }

    @Override
    public ActiveFaults faults() {
        return faults;
    }

    @Override
    public boolean allowsAnswerFaults(Exchange exchange) {
        return exchange.method().equals("POST");
    }

    @Override
    public void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/readyz" ->
                timers.after(probeMillis, () -> exchange.answer(ready ? 200 : 503, "text/plain", new byte[0]));
            case "/executions" -> executions(exchange);
            default -> request(exchange);
        }
    }

    @Override
    public void restart(long downMillis) {
        // There is no state to clear.
    }

    @Override
    public void close() {
        server.close();
        timers.close();
    }

    private void executions(Exchange exchange) {
        var counts = Json.mapper().createObjectNode();
        keys.forEach(key -> counts.put(key, executionsOfEachKey.get()));
        exchange.answer(200, Json.mapper().createObjectNode().set("executions", counts));
    }

    private void request(Exchange exchange) {
        String id = exchange.header("Wagtaillug-Request").orElse("");
        requests.add(id);
        exchange.header("Idempotency-Key").ifPresent(keys::add);
        if (abortsConnections) {
            exchange.abort();
            return;
        }
        if (refusesWithRetry) {
            answer(exchange, 503, "{\"result_code\": 500, \"run\": \"not-run\", \"retry_after_millis\": 1}");
            return;
        }
        String template = exchange.segments().get(2);
        JsonNode body = Json.read(exchange.body(), JsonNode.class).get();
        switch (template) {
            case "refuse" -> answer(exchange, 503, "{\"result_code\": 201, \"run\": \"not-run\"}");
            case "another" -> answer(exchange, 200, whole("another"));
            case "lose" -> exchange.abort();
            case "never" -> exchange.onClosed(() -> {});
            default -> {
                if (!body.path("stream").asBoolean()) {
                    answer(exchange, 200, whole(id));
                    return;
                }
                stream(exchange, id, template);
            }
        }
    }

    private static void stream(Exchange exchange, String id, String template) {
        exchange.openStream("text/event-stream", -1, TOKENS);
        for (int offset = 0; offset < TOKENS; offset++) {
            boolean skipped = template.equals("short") && offset == TOKENS - 1;
            if (!skipped) {
                token(exchange, id, offset);
            }
        }
        if (template.equals("double")) {
            token(exchange, id, TOKENS - 1);
        }
        if (!template.equals("endless")) {
            exchange.write(
                    "event: end\ndata: {\"request\":\"" + id + "\",\"result_code\":0,\"tokens\":" + TOKENS + "}\n\n");
        }
        exchange.end();
    }

    private static void token(Exchange exchange, String id, int offset) {
        exchange.write("data: {\"request\":\"" + id + "\",\"token_offset\":" + offset + ",\"text\":\"w \"}\n\n");
    }

    private static String whole(String id) {
        return "{\"request\": \"" + id + "\", \"result_code\": 0, \"output\": {}}";
    }

    private static void answer(Exchange exchange, int status, String json) {
        exchange.answer(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }
}
