package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;

/** Converts JSON trees that passed the schema and {@link ContractRules} to bodies, and any body to a JSON tree. */
final class ContractMapper {
    static final PoolContract DEFAULT_POOL = PoolContract.unspecified(new PoolId("default"));

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final String KIND = "kind";
    private static final double DEFAULT_SHARE = 1.0;

    private ContractMapper() {}

    static Body read(JsonNode tree) {
        return switch (tree.path(KIND).asText()) {
            case "template" -> template(tree);
            case "customer" -> customer(tree);
            case "pool" -> pool(tree);
            case "placement" -> placement(tree);
            case "domain-service" ->
                new Body.DomainService(
                        new DomainId(text(tree, "domain")), tree.path("out").asBoolean());
            case "vm-service" ->
                new Body.VmService(new VmId(text(tree, "vm")), tree.path("out").asBoolean());
            case "removed" -> new Body.Removed();
            default -> new Body.Unknown(text(tree, "name"), text(tree, "text"));
        };
    }

    private static Template template(JsonNode tree) {
        Template.Builder template = Template.builder(text(tree, "id"));
        boolean idempotent = tree.path("idempotent").asBoolean(true);
        template.idempotent(idempotent);
        duration(tree, "deadline").ifPresent(template::deadline);
        if (tree.has("worth")) {
            template.worth(tree.path("worth").asDouble());
        }
        for (JsonNode stage : tree.path("stages")) {
            template.stage(stage(stage, idempotent));
        }
        return template.build();
    }

    private static Stage stage(JsonNode tree, boolean idempotent) {
        Stage.Builder stage = Stage.builder(text(tree, "id"));
        if (!idempotent) {
            stage.attempts(1).hedge(false);
        }
        if (tree.has("pool")) {
            stage.pool(text(tree, "pool"));
        }
        if (tree.has("work")) {
            stage.work(StageWork.valueOf(text(tree, "work").toUpperCase(Locale.ROOT)));
        }
        if (tree.has("operation")) {
            stage.operation(text(tree, "operation"));
        }
        if (tree.has("model")) {
            stage.model(text(tree, "model"));
        }
        if (tree.has("attempts")) {
            stage.attempts(tree.path("attempts").asInt());
        }
        if (tree.has("hedge")) {
            stage.hedge(tree.path("hedge").asBoolean());
        }
        duration(tree, "timeout").ifPresent(stage::timeout);
        return stage.build();
    }

    private static CustomerContract customer(JsonNode tree) {
        Map<TemplateId, CustomerContract.Parameters> parameters = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : tree.path("parameters").properties()) {
            parameters.put(new TemplateId(entry.getKey()), parameters(entry.getValue()));
        }
        double share = tree.path("share").asDouble(DEFAULT_SHARE);
        return new CustomerContract(new CustomerId(text(tree, "id")), share, parameters);
    }

    private static CustomerContract.Parameters parameters(JsonNode tree) {
        Optional<Double> worth = Optional.empty();
        if (tree.has("worth")) {
            worth = Optional.of(tree.path("worth").asDouble());
        }
        Optional<Boolean> idempotent = Optional.empty();
        if (tree.has("idempotent")) {
            idempotent = Optional.of(tree.path("idempotent").asBoolean());
        }
        return new CustomerContract.Parameters(duration(tree, "deadline"), worth, idempotent);
    }

    private static PoolContract pool(JsonNode tree) {
        return new PoolContract(
                new PoolId(text(tree, "id")),
                tree.path("cold_limit").asInt(DEFAULT_POOL.coldLimit()),
                tree.path("warm_after").asInt(DEFAULT_POOL.warmAfter()),
                tree.path("warm_limit").asInt(DEFAULT_POOL.warmLimit()),
                tree.path("checks_fencing").asBoolean(DEFAULT_POOL.checksFencing()),
                tree.path("checks_keys").asBoolean(DEFAULT_POOL.checksKeys()));
    }

    private static PlacementContract placement(JsonNode tree) {
        return new PlacementContract(
                new ModelId(text(tree, "model")),
                tree.path("version").asInt(1),
                new PoolId(text(tree, "pool")),
                tree.path("copies").asInt());
    }

    private static String text(JsonNode tree, String field) {
        return tree.path(field).textValue();
    }

    private static Optional<Duration> duration(JsonNode tree, String field) {
        return Optional.ofNullable(tree.path(field).textValue()).flatMap(DurationText::parse);
    }

    static ObjectNode write(Body body) {
        return switch (body) {
            case Template template -> toTree(template);
            case CustomerContract customer -> toTree(customer);
            case PoolContract pool -> toTree(pool);
            case PlacementContract placement -> toTree(placement);
            case Body.DomainService service ->
                kind("domain-service").put("domain", service.domain().value()).put("out", service.out());
            case Body.VmService service ->
                kind("vm-service").put("vm", service.vm().value()).put("out", service.out());
            case Body.Removed ignored -> kind("removed");
            case Body.Unknown unknown ->
                kind("unknown").put("name", unknown.kind()).put("text", unknown.text());
        };
    }

    private static ObjectNode kind(String name) {
        return NODES.objectNode().put(KIND, name);
    }

    private static ObjectNode toTree(Template template) {
        ObjectNode tree = kind("template");
        tree.put("id", template.id().value());
        tree.put("deadline", DurationText.format(template.deadline()));
        tree.put("idempotent", template.idempotent());
        tree.put("worth", template.worth());
        ArrayNode stages = tree.putArray("stages");
        for (Stage stage : template.stages()) {
            stages.add(toTree(stage));
        }
        return tree;
    }

    private static ObjectNode toTree(Stage stage) {
        ObjectNode tree = NODES.objectNode();
        tree.put("id", stage.id().value());
        tree.put("pool", stage.pool().value());
        tree.put("work", stage.work().name().toLowerCase(Locale.ROOT));
        tree.put("operation", stage.operation());
        stage.model().ifPresent(model -> tree.put("model", model.value()));
        tree.put("attempts", stage.attempts());
        tree.put("hedge", stage.hedge());
        tree.put("timeout", DurationText.format(stage.timeout()));
        return tree;
    }

    /** Writes the parameters sorted by template, so that equal bodies have equal texts. */
    private static ObjectNode toTree(CustomerContract customer) {
        ObjectNode tree = kind("customer");
        tree.put("id", customer.id().value());
        tree.put("share", customer.share());
        ObjectNode parameters = tree.putObject("parameters");
        for (Map.Entry<TemplateId, CustomerContract.Parameters> entry :
                new TreeMap<>(customer.parameters()).entrySet()) {
            ObjectNode fields = parameters.putObject(entry.getKey().value());
            CustomerContract.Parameters values = entry.getValue();
            values.deadline().ifPresent(deadline -> fields.put("deadline", DurationText.format(deadline)));
            values.worth().ifPresent(worth -> fields.put("worth", worth));
            values.idempotent().ifPresent(idempotent -> fields.put("idempotent", idempotent));
        }
        return tree;
    }

    private static ObjectNode toTree(PoolContract pool) {
        ObjectNode tree = kind("pool");
        tree.put("id", pool.id().value());
        tree.put("cold_limit", pool.coldLimit());
        tree.put("warm_after", pool.warmAfter());
        tree.put("warm_limit", pool.warmLimit());
        tree.put("checks_fencing", pool.checksFencing());
        tree.put("checks_keys", pool.checksKeys());
        return tree;
    }

    private static ObjectNode toTree(PlacementContract placement) {
        ObjectNode tree = kind("placement");
        tree.put("model", placement.model().value());
        tree.put("version", placement.version());
        tree.put("pool", placement.pool().value());
        tree.put("copies", placement.copies());
        return tree;
    }
}
