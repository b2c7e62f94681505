package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The rules that a schema cannot say. They pass over values of the wrong type, which the schema tells of, so that a file
 * shows all its problems at once.
 */
final class ContractRules {
    private static final int FEWEST_OF_PIPELINE = 3;

    private final Document document;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private ContractRules(Document document) {
        this.document = document;
    }

    static List<SettingsProblem> check(Document document) {
        ContractRules rules = new ContractRules(document);
        switch (document.root().path("kind").asText()) {
            case "template" -> rules.template(document.root());
            case "pool" -> rules.pool(document.root());
            default -> {
                return List.of();
            }
        }
        return rules.problems;
    }

    private void template(JsonNode template) {
        JsonNode stages = template.path("stages");
        boolean idempotent = template.path("idempotent").asBoolean(true);
        length(stages);
        Set<String> ids = new HashSet<>();
        for (int index = 0; index < stages.size(); index++) {
            JsonNode stage = stages.path(index);
            String path = DocumentPath.item("stages", index);
            String id = stage.path("id").asText();
            if (!id.isEmpty() && !ids.add(id)) {
                add(path, "id", Found.quoted(id) + " again", "an id that no other stage of the template has");
            }
            model(stage, path);
            if (!idempotent) {
                singleShot(stage, path);
            }
        }
    }

    private void length(JsonNode stages) {
        if (stages.size() == 1) {
            JsonNode work = stages.path(0).path("work");
            if (!work.asText().equals("call")) {
                add("stages[0]", "work", Found.of(work), "call, as the template has only one stage");
            }
            return;
        }
        if (stages.size() > 1 && stages.size() < FEWEST_OF_PIPELINE) {
            String expected = "one stage (a plain call) or three to six (a pipeline)";
            problems.add(document.problem("stages", Found.of(stages), expected));
        }
    }

    private void model(JsonNode stage, String path) {
        boolean generates = stage.path("work").asText().equals("generate");
        if (generates && !stage.has("model")) {
            add(path, "model", "nothing", "the name of a model, as the stage's work is generate");
        }
        if (!generates && stage.has("model")) {
            add(path, "model", Found.of(stage.path("model")), "no model, as the stage's work is not generate");
        }
    }

    /** A second attempt of work that must happen once could do it twice, so that none may be asked for. */
    private void singleShot(JsonNode stage, String path) {
        if (stage.path("attempts").asInt(1) > 1) {
            add(path, "attempts", Found.of(stage.path("attempts")), "1, as the template is not idempotent");
        }
        if (stage.path("hedge").asBoolean(false)) {
            add(path, "hedge", "true", "false, as the template is not idempotent");
        }
    }

    private void pool(JsonNode pool) {
        int cold = pool.path("cold_limit").asInt(ContractForm.DEFAULT_POOL.coldLimit());
        int warm = pool.path("warm_limit").asInt(ContractForm.DEFAULT_POOL.warmLimit());
        if (warm < cold) {
            String field = pool.has("warm_limit") ? "warm_limit" : "cold_limit";
            String found = Found.of(pool.path(field));
            problems.add(document.problem(field, found, "a warm_limit of at least the cold_limit"));
        }
    }

    private void add(String path, String field, String found, String expected) {
        problems.add(document.problem(DocumentPath.field(path, field), found, expected));
    }
}
