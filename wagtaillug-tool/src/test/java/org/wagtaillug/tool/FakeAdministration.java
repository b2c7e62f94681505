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

/** A node's administration interface with a configuration of its own and faults that a test switches on. */
final class FakeAdministration implements AutoCloseable {
    static final String TOKEN = "example-operator-token";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** What the node does with the next changes. */
    enum Fault {
        NONE,
        /** Takes the change and closes the connection without an answer. */
        ANSWER_LOST,
        /** As before, and then forgets the change id, as a node that was started anew would. */
        ANSWER_LOST_AND_FORGOTTEN,
        /** Takes the change and says that it does not know yet. */
        OUTCOME_UNKNOWN,
        /** Refuses as a node that shuts down does. */
        SHUTTING_DOWN
    }

    record Entry(long version, JsonNode body) {}

    final Map<String, Entry> entries = new LinkedHashMap<>();
    final List<JsonNode> posts = new ArrayList<>();
    final Map<String, JsonNode> fixed = new HashMap<>();
    Fault fault = Fault.NONE;
    /** Polls of a change's reach that still show one node behind. */
    int lateFor;
    /** Runs when the configuration was read: another operator may act then. */
    Runnable afterRead = () -> {};

    String digest = "d1";
    private long through = 10;
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
        through++;
        entries.put(key, new Entry(through, json(body)));
        return through;
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getRawPath();
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (!("Bearer " + TOKEN).equals(authorization)) {
            answer(exchange, 403, refusal(107, "not-run", "the token's role is reader; expected operator"));
            return;
        }
        if (fixed.containsKey(path)) {
            answer(exchange, 200, fixed.get(path));
            return;
        }
        switch (path) {
            case "/admin/configuration" -> {
                JsonNode shown = configuration();
                afterRead.run();
                answer(exchange, 200, shown);
            }
            case "/admin/changes" -> change(exchange, JSON.readTree(exchange.getRequestBody()));
            default -> {
                if (path.startsWith("/admin/changes/")) {
                    answer(exchange, 200, reach());
                    return;
                }
                answer(exchange, 404, refusal(100, "not-run", "no such path"));
            }
        }
    }

    private void change(HttpExchange exchange, JsonNode change) throws IOException {
        posts.add(change);
        if (fault == Fault.SHUTTING_DOWN) {
            answer(exchange, 503, refusal(501, "not-run", "the node is shutting down"));
            return;
        }
        String id = change.path("change_id").asText();
        String key = change.path("key").asText();
        long current = entries.containsKey(key) ? entries.get(key).version() : 0;
        if (!accepted.containsKey(id)) {
            if (change.path("base").asLong() != current) {
                answer(exchange, 409, refusal(503, "not-run", "version " + current + " is the newest"));
                return;
            }
            accepted.put(id, put(key, change.path("body").toString()));
        }
        Fault now = fault;
        fault = Fault.NONE;
        if (now == Fault.ANSWER_LOST_AND_FORGOTTEN) {
            accepted.clear();
        }
        if (now == Fault.OUTCOME_UNKNOWN) {
            answer(exchange, 503, refusal(500, "unknown", "the log did not answer in time"));
            return;
        }
        if (now != Fault.NONE) {
            exchange.close();
            return;
        }
        answer(exchange, 200, JSON.createObjectNode().put("change_id", id).put("version", accepted.get(id)));
    }

    private JsonNode configuration() {
        ObjectNode answer = JSON.createObjectNode().put("through", through).put("digest", digest);
        ArrayNode list = answer.putArray("entries");
        entries.forEach((key, entry) ->
                list.addObject().put("key", key).put("version", entry.version()).set("body", entry.body()));
        return answer;
    }

    private JsonNode reach() {
        boolean late = lateFor > 0;
        lateFor--;
        ObjectNode answer = JSON.createObjectNode().put("version", through).put("in_force", true);
        ArrayNode nodes = answer.putArray("nodes");
        nodes.addObject().put("node", "a#1").put("through", through).put("fresh", true);
        nodes.addObject().put("node", "b#1").put("through", through).put("fresh", true);
        nodes.addObject().put("node", "c#1").put("through", late ? 1 : through).put("fresh", true);
        answer.putArray("waiting_for");
        return answer;
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
        } catch (IOException fault) {
            throw new IllegalArgumentException(text, fault);
        }
    }

    private static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
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
