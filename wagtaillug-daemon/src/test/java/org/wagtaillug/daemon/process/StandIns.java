package org.wagtaillug.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpMethod;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.standin.Main;

/** The stand-ins of the platform in one process: log, VM list, and one server of each pool in each failure domain. */
final class StandIns {
    static final List<String> DOMAINS = List.of("zone-a", "zone-b", "zone-c");
    static final List<String> STAGES = List.of("encode", "rerank", "generate");
    static final String SERVICES = "bookings";

    private static final String LISTENING = "{\"event\":\"listening\"";

    private final JavaProcess process;
    private final Http http;
    private final Map<String, Integer> ports = new HashMap<>();

    private StandIns(JavaProcess process, Http http) {
        this.process = process;
        this.http = http;
    }

    static StandIns start(Path directory, Http http) throws IOException {
        Path layout = directory.resolve("layout.yaml");
        Files.writeString(layout, layout());
        Path output = directory.resolve("standins.log");
        StandIns standIns =
                new StandIns(JavaProcess.start(Main.class, output, "all", "--layout", layout.toString()), http);
        Waiting.until("the stand-ins listen; their output: " + standIns.process.output(), standIns::listening);
        return standIns;
    }

    private static String layout() {
        StringBuilder text = new StringBuilder("""
                region: test
                defaults:
                  engine: {slots: 8, cold-limit: 2, warm-after: 4, token-millis: 5, first-token-millis: 20}
                  stage: {slots: 8, cold-limit: 2, warm-after: 4, work-millis: 10}
                  service: {slots: 16, work-millis: 10}
                standins:
                  - {kind: log, name: log, port: 0}
                  - {kind: vms, name: vms, port: 0}
                  - {kind: weights, name: weights, port: 0}
                """);
        for (String domain : DOMAINS) {
            line(text, "stage", "encode", domain, ", stage: encode");
            line(text, "stage", "rerank", domain, ", stage: rerank");
            line(text, "engine", "generate", domain, ", model: menu-7b");
            line(text, "service", SERVICES, domain, "");
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String kind, String pool, String domain, String more) {
        text.append("  - {kind: %s, name: %s-%s, port: 0, pool: %s, domain: %s%s}\n"
                .formatted(kind, pool, domain, pool, domain, more));
    }

    private boolean listening() {
        for (String line : process.output().split("\n")) {
            if (line.startsWith(LISTENING) && line.endsWith("}")) {
                for (JsonNode place : Json.read(line).get().path("standins")) {
                    ports.put(place.path("name").asText(), place.path("port").asInt());
                }
                return true;
            }
        }
        if (!process.alive()) {
            throw new AssertionError("the stand-ins ended: " + process.output());
        }
        return false;
    }

    int port(String name) {
        return ports.get(name);
    }

    /** The stand-ins of a pool, one in each failure domain. */
    static List<String> pool(String pool) {
        List<String> names = new ArrayList<>();
        for (String domain : DOMAINS) {
            names.add(pool + "-" + domain);
        }
        return names;
    }

    /** The stand-ins of all stages of a draft. */
    static List<String> stages() {
        List<String> names = new ArrayList<>();
        for (String stage : STAGES) {
            names.addAll(pool(stage));
        }
        return names;
    }

    void fault(String name, String fault) {
        JsonNode body = Json.read(fault).get();
        Answer answer = http.send(HttpMethod.POST, port(name), "/faults", Map.of(), body);
        if (answer.status() != 200) {
            throw new AssertionError(name + " rejected " + fault + ": " + answer);
        }
    }

    void clear() {
        for (String name : ports.keySet()) {
            fault(name, "{\"fault\": \"none\"}");
        }
    }

    JsonNode counters(String name) {
        return http.get(port(name), "/counters", Map.of()).json();
    }

    /** The load report of an upstream. */
    JsonNode load(String name) {
        return http.get(port(name), "/load", Map.of()).json();
    }

    /** The total number of requests that the given stand-ins have finished. */
    long executed(List<String> names) {
        long executed = 0;
        for (String name : names) {
            executed += counters(name).path("executed").asLong();
        }
        return executed;
    }

    /** The total number of executions of a key at all services. */
    int executions(String key) {
        int found = 0;
        for (String service : pool(SERVICES)) {
            JsonNode executions =
                    http.get(port(service), "/executions", Map.of()).json().path("executions");
            for (Map.Entry<String, JsonNode> execution : executions.properties()) {
                if (execution.getKey().contains(key)) {
                    found += execution.getValue().asInt();
                }
            }
        }
        return found;
    }

    /** The number of records of a stream that contain a text. */
    int recordsWith(String stream, String text) {
        int found = 0;
        JsonNode read = http.get(port("log"), "/streams/" + stream + "/records", Map.of())
                .json();
        for (JsonNode record : read.path("records")) {
            byte[] data = Base64.getDecoder().decode(record.path("data").asText());
            if (new String(data, StandardCharsets.ISO_8859_1).contains(text)) {
                found++;
            }
        }
        return found;
    }

    /** Lists an upstream as live or leaving. */
    void list(String name, String pool, String domain, String state) {
        list(name, pool, domain, port(name), state);
    }

    /** Lists an upstream at any port as live or leaving. */
    void list(String name, String pool, String domain, int port, String state) {
        JsonNode vm = Json.object()
                .put("vm", name)
                .put("kind", "upstream")
                .put("pool", pool)
                .put("domain", domain)
                .put("region", "test")
                .put("address", "127.0.0.1")
                .put("port", port)
                .put("state", state);
        Answer answer = http.send(HttpMethod.PUT, port("vms"), "/vms/" + name, Map.of(), vm);
        if (answer.status() != 200) {
            throw new AssertionError("the VM list rejected " + vm + ": " + answer);
        }
    }

    void destroy() {
        process.destroy();
    }
}
