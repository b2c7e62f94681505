package org.wagtaillug.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.wagtaillug.contract.Body;
import org.wagtaillug.settings.Contracts;
import org.wagtaillug.settings.NearestName;
import org.wagtaillug.tool.AdministrationClient.CallResult;

/** The commands that only read from nodes. */
final class ViewCommands {
    private static final JsonNodeFactory JSON_NODES = JsonNodeFactory.instance;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER));
    private static final int NOT_FOUND = 404;

    private final AdministrationClient client;

    ViewCommands(AdministrationClient client) {
        this.client = client;
    }

    Either<ToolFailure, Result> diff(List<String> files) {
        return ContractFiles.bodies(files)
                .flatMap(bodies -> ConfigurationView.read(client).map(view -> diff(bodies, view)));
    }

    private static Result diff(List<Body> bodies, ConfigurationView view) {
        ObjectNode json = JSON_NODES.objectNode();
        ArrayNode entries = json.putArray("differences");
        List<String> lines = new ArrayList<>();
        for (Body body : bodies) {
            Optional<ConfigurationView.Entry> entry = view.entry(body.key());
            JsonNode before = entry.map(ConfigurationView.Entry::body).orElse(JSON_NODES.objectNode());
            boolean isNew = entry.isEmpty() || entry.get().removed();
            ObjectNode entryJson = entries.addObject().put("key", body.key());
            entryJson.put("version", view.version(body.key()));
            if (!isNew && entry.get().hasBody(body)) {
                entryJson.put("state", "unchanged");
                continue;
            }
            entryJson.put("state", isNew ? "new" : "changed");
            lines.add(body.key() + (isNew ? ": new" : ": changed since version " + view.version(body.key())));
            ArrayNode fields = entryJson.putArray("fields");
            for (BodyDifference.Line line : BodyDifference.between(
                    isNew ? JSON_NODES.objectNode() : before, parseJson(Contracts.toJson(body)))) {
                lines.add("  " + line);
                fields.addObject()
                        .put("path", line.path())
                        .put("before", line.before())
                        .put("after", line.after());
            }
        }
        String text = lines.isEmpty() ? "no difference from the configuration in force" : String.join("\n", lines);
        return Result.ok(text, json);
    }

    Either<ToolFailure, Result> show(List<String> keys) {
        if (keys.size() > 1) {
            return Either.left(CommandLine.usage("show: found " + keys.size() + " keys; expected one or none"));
        }
        return ConfigurationView.read(client)
                .flatMap(view -> keys.isEmpty() ? Either.right(showAll(view)) : showOne(keys.getFirst(), view));
    }

    private static Result showAll(ConfigurationView view) {
        ObjectNode json = JSON_NODES.objectNode();
        json.put("through", view.offset()).put("digest", view.digest());
        ArrayNode entries = json.putArray("entries");
        for (Map.Entry<String, ConfigurationView.Entry> entry : view.entries().entrySet()) {
            if (entry.getValue().removed()) {
                continue;
            }
            ObjectNode entryJson = entries.addObject().put("key", entry.getKey());
            entryJson.put("version", entry.getValue().version());
            entryJson.set("body", entry.getValue().body());
        }
        return Result.ok(new Table(List.of("key", "version")).rows(entries).text(), json);
    }

    private static Either<ToolFailure, Result> showOne(String key, ConfigurationView view) {
        Optional<ConfigurationView.Entry> entry = view.entry(key);
        if (entry.isEmpty() || entry.get().removed()) {
            return Either.left(noSuchKey(key, view));
        }
        ObjectNode json = JSON_NODES.objectNode().put("key", key);
        json.put("version", entry.get().version());
        json.set("body", entry.get().body());
        String text = "# " + key + ", version " + entry.get().version() + "\n"
                + toYaml(entry.get().body());
        return Either.right(Result.ok(text, json));
    }

    static ToolFailure noSuchKey(String key, ConfigurationView view) {
        TreeSet<String> keys = new TreeSet<>();
        for (Map.Entry<String, ConfigurationView.Entry> entry : view.entries().entrySet()) {
            if (!entry.getValue().removed()) {
                keys.add(entry.getKey());
            }
        }
        String nearest = NearestName.of(key, keys)
                .map(name -> "; did you mean \"" + name + "\"?")
                .orElse("");
        String expected = "; expected a key that is in force, for example template/menu-draft";
        return new ToolFailure.NotFound("found the key \"" + key + "\"" + expected + nearest);
    }

    Either<ToolFailure, Result> nodes() {
        return table("/admin/nodes", "nodes", List.of("node", "domain", "through", "heard_millis", "fresh", "ready"));
    }

    Either<ToolFailure, Result> upstreams() {
        List<String> columns = List.of(
                "vm",
                "pool",
                "domain",
                "leaving",
                "in_service",
                "owner",
                "cold",
                "allowed",
                "in_flight",
                "running",
                "waiting",
                "started_at");
        return table("/admin/upstreams", "upstreams", columns);
    }

    Either<ToolFailure, Result> ownership() {
        return table("/admin/ownership", "ownership", List.of("vm", "owner", "fencing_number", "may_grant"));
    }

    private Either<ToolFailure, Result> table(String path, String field, List<String> columns) {
        return client.get(path)
                .map(response ->
                        Result.ok(new Table(columns).rows(response.path(field)).text(), response));
    }

    Either<ToolFailure, Result> requests() {
        return collectFromAllNodes("/admin/requests", "requests").map(requests -> {
            ObjectNode json = JSON_NODES.objectNode();
            json.set("requests", requests);
            List<String> columns = List.of(
                    "request",
                    "customer",
                    "template",
                    "template_version",
                    "stage",
                    "attempts",
                    "age_millis",
                    "left_millis");
            return Result.ok(new Table(columns).rows(requests).text(), json);
        });
    }

    /** Queries every node, because the operator need not know which node received the request and made its decisions. */
    Either<ToolFailure, Result> why(List<String> requests) {
        if (requests.size() != 1) {
            return Either.left(CommandLine.usage("why: found " + requests.size() + " requests; expected one"));
        }
        String request = requests.getFirst();
        String path = "/admin/requests/"
                + URLEncoder.encode(request, StandardCharsets.UTF_8).replace("+", "%20");
        return collectFromAllNodes(path, "decisions").flatMap(decisions -> {
            if (decisions.isEmpty()) {
                String text = "no queried node has decisions about the request \"" + request + "\"";
                return Either.left(new ToolFailure.NotFound(text));
            }
            ObjectNode json = JSON_NODES.objectNode().put("request", request);
            json.set("decisions", decisions);
            return Either.right(Result.ok(decisionText(decisions), json));
        });
    }

    private static String decisionText(ArrayNode decisions) {
        List<String> lines = new ArrayList<>();
        for (JsonNode decision : decisions) {
            StringBuilder line = new StringBuilder(decision.path("time").asText());
            line.append(' ').append(decision.path("kind").asText());
            for (Map.Entry<String, JsonNode> field : decision.path("fields").properties()) {
                line.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
            lines.add(line.toString().strip());
            for (JsonNode alternative : decision.path("alternatives")) {
                lines.add("    not " + alternative.asText());
            }
        }
        return String.join("\n", lines);
    }

    /** Concatenates the lists from all nodes. Fails if no node can serve the call or one refuses it for all nodes. */
    private Either<ToolFailure, ArrayNode> collectFromAllNodes(String path, String field) {
        ArrayNode collected = JSON_NODES.arrayNode();
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            switch (client.get(node, path)) {
                case CallResult.Response response -> {
                    if (response.status() == AdministrationClient.OK) {
                        response.body().path(field).forEach(collected::add);
                        continue;
                    }
                    if (response.status() == NOT_FOUND) {
                        continue;
                    }
                    ErrorResponses.Refusal refusal = ErrorResponses.parse(response);
                    if (!refusal.retryableOnOtherNode()) {
                        return Either.left(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case CallResult.NotSent notSent -> reasons.add(node + ": " + notSent.reason());
                case CallResult.NoResponse noResponse -> reasons.add(node + ": " + noResponse.reason());
            }
        }
        if (reasons.size() == client.nodes().size()) {
            return Either.left(new ToolFailure.Unreachable(reasons));
        }
        return Either.right(collected);
    }

    /** Compares the digests of nodes at the same offset, which must be equal; other digests are not comparable. */
    Either<ToolFailure, Result> digest(List<String> arguments) {
        if (!arguments.equals(List.of("digest"))) {
            return Either.left(
                    CommandLine.usage("config: found \"" + String.join(" ", arguments) + "\"; expected digest"));
        }
        ObjectNode json = JSON_NODES.objectNode();
        ArrayNode rows = json.putArray("nodes");
        Map<Long, String> digests = new HashMap<>();
        boolean equal = true;
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            Optional<ConfigurationView> view = ConfigurationView.read(client, node);
            if (view.isEmpty()) {
                reasons.add(node + ": no response with a digest");
                continue;
            }
            long offset = view.get().offset();
            String digest = view.get().digest();
            rows.addObject().put("node", node).put("through", offset).put("digest", digest);
            String other = digests.putIfAbsent(offset, digest);
            equal &= other == null || other.equals(digest);
        }
        if (rows.isEmpty()) {
            return Either.left(new ToolFailure.Unreachable(reasons));
        }
        json.put("equal", equal);
        if (!equal) {
            reasons.add("nodes at the same offset hold different configurations");
        }
        ExitCode exitCode = reasons.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
        String text = new Table(List.of("node", "through", "digest")).rows(rows).text();
        return Either.right(new Result(text, String.join("\n", reasons), json, exitCode));
    }

    private static String toYaml(JsonNode tree) {
        try {
            return YAML.writeValueAsString(tree).stripTrailing();
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot write a JSON tree as YAML", exception);
        }
    }

    private static JsonNode parseJson(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot parse the JSON generated from a contract body", exception);
        }
    }
}
