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
import org.wagtaillug.tool.AdministrationClient.Exchange;

/** The commands that only look. */
final class ViewCommands {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
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
        ObjectNode json = NODES.objectNode();
        ArrayNode entries = json.putArray("differences");
        List<String> lines = new ArrayList<>();
        for (Body body : bodies) {
            Optional<ConfigurationView.Entry> entry = view.entry(body.key());
            JsonNode before = entry.map(ConfigurationView.Entry::body).orElse(NODES.objectNode());
            boolean fresh = entry.isEmpty() || entry.get().removed();
            ObjectNode shown = entries.addObject().put("key", body.key());
            shown.put("version", view.version(body.key()));
            if (!fresh && entry.get().holds(body)) {
                shown.put("state", "unchanged");
                continue;
            }
            shown.put("state", fresh ? "new" : "changed");
            lines.add(body.key() + (fresh ? ": new" : ": changed since version " + view.version(body.key())));
            ArrayNode fields = shown.putArray("fields");
            for (BodyDifference.Line line :
                    BodyDifference.between(fresh ? NODES.objectNode() : before, tree(Contracts.toJson(body)))) {
                lines.add("  " + line);
                fields.addObject()
                        .put("path", line.path())
                        .put("before", line.before())
                        .put("after", line.after());
            }
        }
        String text = lines.isEmpty() ? "no difference to what is in force" : String.join("\n", lines);
        return Result.ok(text, json);
    }

    Either<ToolFailure, Result> show(List<String> keys) {
        if (keys.size() > 1) {
            return Either.left(CommandLine.usage("show: found " + keys.size() + " keys; expected one or none"));
        }
        return ConfigurationView.read(client)
                .flatMap(view -> keys.isEmpty() ? Either.right(all(view)) : one(keys.getFirst(), view));
    }

    private static Result all(ConfigurationView view) {
        ObjectNode json = NODES.objectNode();
        json.put("through", view.through()).put("digest", view.digest());
        ArrayNode entries = json.putArray("entries");
        for (Map.Entry<String, ConfigurationView.Entry> entry : view.entries().entrySet()) {
            if (entry.getValue().removed()) {
                continue;
            }
            ObjectNode shown = entries.addObject().put("key", entry.getKey());
            shown.put("version", entry.getValue().version());
            shown.set("body", entry.getValue().body());
        }
        return Result.ok(new Table(List.of("key", "version")).rows(entries).text(), json);
    }

    private static Either<ToolFailure, Result> one(String key, ConfigurationView view) {
        Optional<ConfigurationView.Entry> entry = view.entry(key);
        if (entry.isEmpty() || entry.get().removed()) {
            return Either.left(noSuchKey(key, view));
        }
        ObjectNode json = NODES.objectNode().put("key", key);
        json.put("version", entry.get().version());
        json.set("body", entry.get().body());
        String text = "# " + key + ", version " + entry.get().version() + "\n"
                + yaml(entry.get().body());
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
                .map(answer ->
                        Result.ok(new Table(columns).rows(answer.path(field)).text(), answer));
    }

    Either<ToolFailure, Result> requests() {
        return ofEveryNode("/admin/requests", "requests").map(requests -> {
            ObjectNode json = NODES.objectNode();
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

    /** A request is decided by the node that its caller met, which the operator need not know: every node is asked. */
    Either<ToolFailure, Result> why(List<String> requests) {
        if (requests.size() != 1) {
            return Either.left(CommandLine.usage("why: found " + requests.size() + " requests; expected one"));
        }
        String request = requests.getFirst();
        String path = "/admin/requests/"
                + URLEncoder.encode(request, StandardCharsets.UTF_8).replace("+", "%20");
        return ofEveryNode(path, "decisions").flatMap(decisions -> {
            if (decisions.isEmpty()) {
                String text = "no node that was asked remembers the request \"" + request + "\"";
                return Either.left(new ToolFailure.NotFound(text));
            }
            ObjectNode json = NODES.objectNode().put("request", request);
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

    /** Joins the lists of all nodes; fails only when no node answers. */
    private Either<ToolFailure, ArrayNode> ofEveryNode(String path, String field) {
        ArrayNode joined = NODES.arrayNode();
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            switch (client.get(node, path)) {
                case Exchange.Answered answered -> {
                    if (answered.status() == AdministrationClient.OK) {
                        answered.body().path(field).forEach(joined::add);
                        continue;
                    }
                    if (answered.status() == NOT_FOUND) {
                        continue;
                    }
                    Answers.Refusal refusal = Answers.refusal(answered);
                    if (!refusal.anotherNodeMayServe()) {
                        return Either.left(refusal.failure(node));
                    }
                    reasons.add(node + ": " + refusal.message());
                }
                case Exchange.NotReached notReached -> reasons.add(node + ": " + notReached.reason());
                case Exchange.Lost lost -> reasons.add(node + ": " + lost.reason());
            }
        }
        if (reasons.size() == client.nodes().size()) {
            return Either.left(new ToolFailure.Unreachable(reasons));
        }
        return Either.right(joined);
    }

    /** Two nodes at the same offset must hold the same; other offsets cannot be compared. */
    Either<ToolFailure, Result> digest(List<String> words) {
        if (!words.equals(List.of("digest"))) {
            return Either.left(CommandLine.usage("config: found \"" + String.join(" ", words) + "\"; expected digest"));
        }
        ObjectNode json = NODES.objectNode();
        ArrayNode rows = json.putArray("nodes");
        Map<Long, String> digests = new HashMap<>();
        boolean equal = true;
        List<String> reasons = new ArrayList<>();
        for (String node : client.nodes()) {
            Optional<ConfigurationView> view = ConfigurationView.read(client, node);
            if (view.isEmpty()) {
                reasons.add(node + ": no answer that holds a digest");
                continue;
            }
            long through = view.get().through();
            String digest = view.get().digest();
            rows.addObject().put("node", node).put("through", through).put("digest", digest);
            String other = digests.putIfAbsent(through, digest);
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

    private static String yaml(JsonNode tree) {
        try {
            return YAML.writeValueAsString(tree).stripTrailing();
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException("a tree cannot be written", fault);
        }
    }

    private static JsonNode tree(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException("a body's own JSON cannot be read", fault);
        }
    }
}
