package org.wagtaillug.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.Main;

/** An entry node in its own process, with the requests of callers and operators to it. */
final class NodeProcess {
    static final String TOKEN = "operator-token-of-tests";

    private static final Map<String, String> AUTHORIZED = Map.of("Authorization", "Bearer " + TOKEN);

    /** The ports of a node. */
    record Ports(int callers, int administration, int link) {}

    private final String vm;
    private final Ports ports;
    private final Path settings;
    private final Path output;
    private final Http http;
    private JavaProcess process;

    NodeProcess(String vm, Ports ports, Path settings, Path output, Http http) {
        this.vm = vm;
        this.ports = ports;
        this.settings = settings;
        this.output = output;
        this.http = http;
    }

    String vm() {
        return vm;
    }

    Ports ports() {
        return ports;
    }

    JavaProcess process() {
        return process;
    }

    void start() throws IOException {
        process = JavaProcess.start(Main.class, output, "--settings", settings.toString());
    }

    /** Waits until the node is ready; if its process has ended, the failure contains its output. */
    void awaitReady() {
        Waiting.until("node " + vm + " is ready; its output: " + process.output(), () -> {
            if (!process.alive()) {
                throw new AssertionError("node " + vm + " ended: " + process.output());
            }
            return ready();
        });
    }

    /** Whether the node reports that the load balancer may send requests to it. */
    boolean ready() {
        return http.get(ports.administration(), "/readyz", Map.of()).status() == 200;
    }

    JsonNode admin(String path) {
        return http.get(ports.administration(), "/admin/" + path, AUTHORIZED).json();
    }

    Answer adminAnswer(String path) {
        return http.get(ports.administration(), "/admin/" + path, AUTHORIZED);
    }

    Answer change(String key, long base, JsonNode body, String changeId) {
        ObjectNode change = Json.object();
        change.put("key", key).put("base", base).put("change_id", changeId);
        change.set("body", body);
        return http.send(HttpMethod.POST, ports.administration(), "/admin/changes", AUTHORIZED, change);
    }

    Answer draft(long deadlineMillis) {
        return request("draft", Json.object().put("max_tokens", 4), deadlineMillis, Map.of());
    }

    Answer booking(String key, long deadlineMillis) {
        return request("booking", Json.object(), deadlineMillis, Map.of("Idempotency-Key", key));
    }

    /** Sends a request with a unique id and checks that the answer belongs to it. */
    Answer request(String template, ObjectNode body, long deadlineMillis, Map<String, String> headers) {
        String id = "test-" + UUID.randomUUID();
        Map<String, String> all = new HashMap<>(headers);
        all.put("Wagtaillug-Customer", "office");
        all.put("Wagtaillug-Request", id);
        all.put("Wagtaillug-Deadline-Millis", Long.toString(deadlineMillis));
        body.put("input", "input of " + template);
        Answer answer =
                http.send(HttpMethod.POST, ports.callers(), "/v1/templates/" + template + "/requests", all, body);
        String answered = answer.json().path("request").asText(id);
        if (!answered.equals(id)) {
            throw new AssertionError("request " + id + " got the answer of " + answered);
        }
        return answer;
    }

    /** Whether this node lists an instance of a VM among the members of the roster. */
    boolean lists(String other) {
        for (JsonNode node : admin("nodes").path("nodes")) {
            if (node.path("node").asText().startsWith(other + "#")) {
                return true;
            }
        }
        return false;
    }

    /** The number of requests that the node is processing in a stage. */
    int inFlight(String stage) {
        int found = 0;
        for (JsonNode request : admin("requests").path("requests")) {
            if (request.path("stage").asText().equals(stage)) {
                found++;
            }
        }
        return found;
    }

    /** The number of attempts that the requests in a stage have sent. */
    int attempts(String stage) {
        int found = 0;
        for (JsonNode request : admin("requests").path("requests")) {
            if (request.path("stage").asText().equals(stage)) {
                found += request.path("attempts").asInt();
            }
        }
        return found;
    }

    /** The version of each key in force on this node. */
    Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        for (JsonNode entry : admin("configuration").path("entries")) {
            versions.put(entry.path("key").asText(), entry.path("version").asLong());
        }
        return versions;
    }

    String digest() {
        return admin("configuration").path("digest").asText();
    }
}
