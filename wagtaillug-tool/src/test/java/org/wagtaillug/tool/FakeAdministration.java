package org.wagtaillug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A fake administration interface of a node, with its own configuration and faults that a test can enable. */
final class FakeAdministration implements AutoCloseable {
    static final String TOKEN = "example-operator-token";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** How the node handles the next changes. */
    enum Fault {
        NONE,
        /** Accepts the change and closes the connection without a response. */
        ANSWER_LOST,
        /** Like {@link #ANSWER_LOST}, but also forgets the change id, as a restarted node does. */
        ANSWER_LOST_AND_FORGOTTEN,
        /** Accepts the change and responds that its outcome is unknown. */
        OUTCOME_UNKNOWN,
        /** Refuses the change like a node that is shutting down. */
        SHUTTING_DOWN
    }

    record Entry(long version, JsonNode body) {}

    final Map<String, Entry> entries = new LinkedHashMap<>();
    final List<JsonNode> posts = new ArrayList<>();
    final Map<String, JsonNode> fixedResponses = new HashMap<>();
    Fault fault = Fault.NONE;
    /** The number of polls of a change for which one node still lags. */
    int laggingPolls;
    /** Runs after the configuration was read, for example to simulate a change by another operator. */
    Runnable afterRead = () -> {};

    String digest = "d1";
    private long offset = 10;
    private final Map<String, Long> accepted = new HashMap<>();
    private final HttpServer server;

    FakeAdministration() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    long put(String key, String body) {
        offset++;
        entries.put(key, new Entry(offset, json(body)));
        return offset;
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getRawPath();
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (!("Bearer " + TOKEN).equals(authorization)) {
            respond(exchange, 403, refusal(107, "not-run", "the token's role is reader; expected operator"));
            return;
        }
        if (fixedResponses.containsKey(path)) {
            respond(exchange, 200, fixedResponses.get(path));
            return;
        }
        switch (path) {
            case "/admin/configuration" -> {
                JsonNode snapshot = configuration();
                afterRead.run();
                respond(exchange, 200, snapshot);
            }
            case "/admin/changes" -> change(exchange, JSON.readTree(exchange.getRequestBody()));
            default -> {
                if (path.startsWith("/admin/changes/")) {
                    respond(exchange, 200, propagation());
                    return;
                }
                respond(exchange, 404, refusal(100, "not-run", "no such path"));
            }
        }
    }

    private void change(HttpExchange exchange, JsonNode change) throws IOException {
        posts.add(change);
        if (fault == Fault.SHUTTING_DOWN) {
            respond(exchange, 503, refusal(501, "not-run", "the node is shutting down"));
            return;
        }
        String id = change.path("change_id").asText();
        String key = change.path("key").asText();
        long current = entries.containsKey(key) ? entries.get(key).version() : 0;
        if (!accepted.containsKey(id)) {
            if (change.path("base").asLong() != current) {
                respond(exchange, 409, refusal(503, "not-run", "version " + current + " is the newest"));
                return;
            }
            accepted.put(id, put(key, change.path("body").toString()));
        }
        Fault currentFault = fault;
        fault = Fault.NONE;
        if (currentFault == Fault.ANSWER_LOST_AND_FORGOTTEN) {
            accepted.clear();
        }
        if (currentFault == Fault.OUTCOME_UNKNOWN) {
            respond(exchange, 503, refusal(500, "unknown", "the log did not answer in time"));
            return;
        }
        if (currentFault != Fault.NONE) {
            exchange.close();
            return;
        }
        respond(exchange, 200, JSON.createObjectNode().put("change_id", id).put("version", accepted.get(id)));
    }

    private JsonNode configuration() {
        ObjectNode response = JSON.createObjectNode().put("through", offset).put("digest", digest);
        ArrayNode list = response.putArray("entries");
        entries.forEach((key, entry) ->
                list.addObject().put("key", key).put("version", entry.version()).set("body", entry.body()));
        return response;
    }

    private JsonNode propagation() {
        boolean lagging = laggingPolls > 0;
        laggingPolls--;
        ObjectNode response = JSON.createObjectNode().put("version", offset).put("in_force", true);
        ArrayNode nodes = response.putArray("nodes");
        nodes.addObject().put("node", "a#1").put("through", offset).put("fresh", true);
        nodes.addObject().put("node", "b#1").put("through", offset).put("fresh", true);
        nodes.addObject()
                .put("node", "c#1")
                .put("through", lagging ? 1 : offset)
                .put("fresh", true);
        response.putArray("waiting_for");
        return response;
    }

    private static JsonNode refusal(int code, String run, String message) {
        return JSON.createObjectNode()
                .put("result_code", code)
                .put("run", run)
                .put("message", message)
                .put("retry_after_millis", 0);
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException exception) {
            throw new IllegalArgumentException(text, exception);
        }
    }

    private static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
