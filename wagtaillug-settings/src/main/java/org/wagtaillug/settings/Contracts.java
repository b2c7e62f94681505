package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtaillug.contract.Body;

/**
 * Reads the contracts that operators publish as YAML, and writes and reads their JSON form, which the administration
 * API uses.
 *
 * <pre>{@code
 * Either<List<SettingsProblem>, List<Body>> bodies = Contracts.parse(text, "contracts.yaml");
 * String json = Contracts.toJson(bodies.get().get(0));
 * Either<List<SettingsProblem>, Body> again = Contracts.fromJson(json);
 * }</pre>
 *
 * <p>The JSON form has the same fields as the YAML form, with {@code kind} first and all defaults written out.
 */
public final class Contracts {
    private static final String RESOURCE = "contracts.yaml";
    private static final String JSON_FILE_NAME = "body";
    private static final List<String> PUBLISHABLE_KINDS = List.of("template", "customer", "pool", "placement");
    private static final List<String> ALL_KINDS =
            List.of("template", "customer", "pool", "placement", "domain-service", "vm-service", "removed", "unknown");
    private static final Map<String, Schema> SCHEMAS = new ConcurrentHashMap<>();

    private Contracts() {}

    /**
     * Reads a file of one or more YAML documents.
     *
     * @param text the file's content
     * @param fileName its name, for the problems
     * @return all problems in the order of their lines, or the bodies in the order of the file
     */
    public static Either<List<SettingsProblem>, List<Body>> parse(String text, String fileName) {
        DocumentReader.ParseResult parsed = DocumentReader.yaml(text, fileName);
        List<SettingsProblem> problems = new ArrayList<>(parsed.problems());
        List<Body> bodies = new ArrayList<>();
        Map<String, Integer> lines = new HashMap<>();
        for (Document document : parsed.documents()) {
            List<SettingsProblem> documentProblems = check(document, PUBLISHABLE_KINDS);
            problems.addAll(documentProblems);
            if (!documentProblems.isEmpty()) {
                continue;
            }
            Body body = ContractMapper.read(document.root());
            int line = document.line(DocumentPath.ROOT);
            Integer earlier = lines.putIfAbsent(body.key(), line);
            if (earlier != null) {
                String once = "it once in the file, as at line " + earlier;
                problems.add(document.problem(DocumentPath.ROOT, body.key() + " again", once));
            }
            bodies.add(body);
        }
        return result(problems, bodies);
    }

    /** Writes any body as one JSON object. Durations are truncated to whole milliseconds. */
    public static String toJson(Body body) {
        return ContractMapper.write(body).toString();
    }

    /**
     * Reads any body from its JSON object; as strict as {@link #parse}, so that a server need not validate it again.
     */
    public static Either<List<SettingsProblem>, Body> fromJson(String json) {
        DocumentReader.ParseResult parsed = DocumentReader.json(json, JSON_FILE_NAME);
        List<SettingsProblem> problems = new ArrayList<>(parsed.problems());
        if (parsed.documents().size() > 1) {
            problems.add(parsed.documents().get(1).problem(DocumentPath.ROOT, "a second value", "one JSON object"));
        }
        for (Document document : parsed.documents()) {
            problems.addAll(check(document, ALL_KINDS));
        }
        if (!problems.isEmpty()) {
            return Either.left(SettingsProblems.sorted(problems));
        }
        return Either.right(ContractMapper.read(parsed.documents().getFirst().root()));
    }

    private static List<SettingsProblem> check(Document document, List<String> kinds) {
        JsonNode root = document.root();
        String expected = "one of " + String.join(", ", kinds);
        if (!root.isObject()) {
            return List.of(document.problem(DocumentPath.ROOT, ValueText.of(root), "a mapping with a field \"kind\""));
        }
        String kind = root.path("kind").asText();
        if (!kinds.contains(kind)) {
            Optional<String> nearest = NearestName.of(kind, kinds);
            return List.of(document.problem("kind", ValueText.of(root.get("kind")), expected, nearest));
        }
        List<SettingsProblem> problems = new ArrayList<>(schema(kind).check(document));
        problems.addAll(ContractRules.check(document));
        return SettingsProblems.sorted(problems);
    }

    private static Either<List<SettingsProblem>, List<Body>> result(List<SettingsProblem> problems, List<Body> bodies) {
        if (problems.isEmpty()) {
            return Either.right(List.copyOf(bodies));
        }
        return Either.left(SettingsProblems.sorted(problems));
    }

    /** Loaded on first use: the tool would otherwise wait for seven schemas that it does not use. */
    private static Schema schema(String kind) {
        return SCHEMAS.computeIfAbsent(kind, name -> Schema.of(RESOURCE, name));
    }
}
