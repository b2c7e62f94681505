package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validation rules that a schema cannot express. They ignore values of the wrong type, which the schema check
 * reports, so that all problems of a file are reported at once.
 */
final class ContractRules {
    private static final int MIN_PIPELINE_STAGES = 3;

    private final Document document;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private ContractRules(Document document) {
        this.document = document;
    }

    static List<SettingsProblem> check(Document document) {
        ContractRules rules = new ContractRules(document);
        switch (document.root().path("kind").asText()) {
            case "template" -> rules.checkTemplate(document.root());
            case "pool" -> rules.checkPool(document.root());
            default -> {
                return List.of();
            }
        }
        return rules.problems;
    }

    private void checkTemplate(JsonNode template) {
        JsonNode stages = template.path("stages");
        boolean idempotent = template.path("idempotent").asBoolean(true);
        checkStageCount(stages);
        Set<String> ids = new HashSet<>();
        for (int index = 0; index < stages.size(); index++) {
            JsonNode stage = stages.path(index);
            String path = DocumentPath.item("stages", index);
            String id = stage.path("id").asText();
            if (!id.isEmpty() && !ids.add(id)) {
                addProblem(
                        path, "id", ValueText.quoted(id) + " again", "an id that no other stage of the template has");
            }
            checkModel(stage, path);
            if (!idempotent) {
                checkSingleAttempt(stage, path);
            }
        }
    }

    private void checkStageCount(JsonNode stages) {
        if (stages.size() == 1) {
            JsonNode work = stages.path(0).path("work");
            if (!work.asText().equals("call")) {
                addProblem("stages[0]", "work", ValueText.of(work), "call, as the template has only one stage");
            }
            return;
        }
        if (stages.size() > 1 && stages.size() < MIN_PIPELINE_STAGES) {
            String expected = "one stage (a plain call) or three to six (a pipeline)";
            problems.add(document.problem("stages", ValueText.of(stages), expected));
        }
    }

    private void checkModel(JsonNode stage, String path) {
        boolean generates = stage.path("work").asText().equals("generate");
        if (generates && !stage.has("model")) {
            addProblem(path, "model", "nothing", "the name of a model, as the stage's work is generate");
        }
        if (!generates && stage.has("model")) {
            addProblem(
                    path, "model", ValueText.of(stage.path("model")), "no model, as the stage's work is not generate");
        }
    }

    /** A second attempt could execute non-idempotent work twice, so retries and hedging are rejected. */
    private void checkSingleAttempt(JsonNode stage, String path) {
        if (stage.path("attempts").asInt(1) > 1) {
            addProblem(path, "attempts", ValueText.of(stage.path("attempts")), "1, as the template is not idempotent");
        }
        if (stage.path("hedge").asBoolean(false)) {
            addProblem(path, "hedge", "true", "false, as the template is not idempotent");
        }
    }

    private void checkPool(JsonNode pool) {
        int cold = pool.path("cold_limit").asInt(ContractMapper.DEFAULT_POOL.coldLimit());
        int warm = pool.path("warm_limit").asInt(ContractMapper.DEFAULT_POOL.warmLimit());
        if (warm < cold) {
            String field = pool.has("warm_limit") ? "warm_limit" : "cold_limit";
            String found = ValueText.of(pool.path(field));
            problems.add(document.problem(field, found, "a warm_limit of at least the cold_limit"));
        }
    }

    private void addProblem(String path, String field, String found, String expected) {
        problems.add(document.problem(DocumentPath.field(path, field), found, expected));
    }
}
