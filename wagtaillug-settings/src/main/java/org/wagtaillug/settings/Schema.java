package org.wagtaillug.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.networknt.schema.ExecutionContext;
import com.networknt.schema.Format;
import com.networknt.schema.JsonMetaSchema;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A JSON schema from the resources; converts validation messages to {@link SettingsProblem}s. */
final class Schema {
    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
    private static final JsonSchemaFactory FACTORY = factory();
    private static final SchemaValidatorsConfig CONFIG =
            SchemaValidatorsConfig.builder().formatAssertionsEnabled(true).build();
    private static final String SECRET_FIELD = "token";

    private final JsonNode tree;
    private final JsonSchema validator;

    /** The format of durations, whose range a pattern cannot express. */
    private static final class DurationFormat implements Format {
        @Override
        public String getName() {
            return "wagtaillug-duration";
        }

        @Override
        public boolean matches(ExecutionContext context, String value) {
            return DurationText.parse(value).isPresent();
        }
    }

    private Schema(JsonNode tree) {
        this.tree = tree;
        this.validator = FACTORY.getSchema(tree, CONFIG);
    }

    private static JsonSchemaFactory factory() {
        JsonMetaSchema dialect = JsonMetaSchema.builder(JsonMetaSchema.getV202012())
                .format(new DurationFormat())
                .build();
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012, builder -> builder.metaSchema(dialect));
    }

    /** Loads the schema of one definition in a resource file. */
    static Schema of(String resource, String definition) {
        try (InputStream stream = Schema.class.getResourceAsStream(resource)) {
            ObjectNode tree = (ObjectNode) YAML.readTree(stream);
            tree.put("$ref", "#/$defs/" + definition);
            return new Schema(tree);
        } catch (IOException exception) {
            throw new UncheckedIOException("the schema " + resource + " cannot be read", exception);
        }
    }

    /** Returns all problems of a document; several for the same path if a value violates several rules. */
    List<SettingsProblem> check(Document document) {
        List<SettingsProblem> problems = new ArrayList<>();
        for (ValidationMessage message : validator.validate(document.root())) {
            problems.add(problem(document, message));
        }
        return problems;
    }

    private SettingsProblem problem(Document document, ValidationMessage message) {
        JsonNodePath location = message.getInstanceLocation();
        String path = path(location);
        JsonNode schema = schemaAt(location);
        String property = message.getProperty();
        return switch (message.getType()) {
            case "additionalProperties" -> unknownField(document, path, property, schema);
            case "required" -> {
                String fieldPath = DocumentPath.field(path, property);
                yield document.problem(fieldPath, "nothing", expected(child(schema, property)));
            }
            case "propertyNames" -> {
                String fieldPath = DocumentPath.field(path, property);
                yield document.problem(
                        fieldPath, ValueText.quoted(property), expected(resolve(schema.path("propertyNames"))));
            }
            default -> invalidValue(document, path, message.getInstanceNode(), schema);
        };
    }

    private SettingsProblem unknownField(Document document, String path, String property, JsonNode schema) {
        List<String> names = new ArrayList<>();
        schema.path("properties").fieldNames().forEachRemaining(names::add);
        String fieldPath = DocumentPath.field(path, property);
        String choices = "one of " + String.join(", ", names);
        return document.problem(fieldPath, ValueText.quoted(property), choices, NearestName.of(property, names));
    }

    private SettingsProblem invalidValue(Document document, String path, JsonNode value, JsonNode schema) {
        String found = ValueText.of(value);
        if (path.endsWith("." + SECRET_FIELD) && value != null && value.isTextual()) {
            found = "a token of " + value.textValue().length() + " characters";
        }
        Optional<String> nearest = Optional.empty();
        if (value != null && value.isTextual()) {
            nearest = NearestName.of(value.textValue(), choices(schema));
        }
        return document.problem(path, found, expected(schema), nearest);
    }

    private static String expected(JsonNode schema) {
        String description = schema.path("description").asText();
        if (!description.isEmpty()) {
            return description;
        }
        List<String> choices = choices(schema);
        if (!choices.isEmpty()) {
            return "one of " + String.join(", ", choices);
        }
        return switch (schema.path("type").asText()) {
            case "object" -> "a mapping";
            case "array" -> "a list";
            case "boolean" -> "true or false";
            case "integer" -> "a whole number" + range(schema);
            case "number" -> "a number" + range(schema);
            default -> "a text";
        };
    }

    private static String range(JsonNode schema) {
        StringBuilder range = new StringBuilder();
        if (schema.has("minimum")) {
            range.append(" from ").append(schema.path("minimum").asText());
        }
        if (schema.has("exclusiveMinimum")) {
            range.append(" above ").append(schema.path("exclusiveMinimum").asText());
        }
        if (schema.has("maximum")) {
            range.append(" up to ").append(schema.path("maximum").asText());
        }
        return range.toString();
    }

    private static List<String> choices(JsonNode schema) {
        List<String> choices = new ArrayList<>();
        schema.path("enum").forEach(choice -> choices.add(choice.asText()));
        return choices;
    }

    private static String path(JsonNodePath location) {
        String path = DocumentPath.ROOT;
        for (int index = 0; index < location.getNameCount(); index++) {
            Object element = location.getElement(index);
            path = element instanceof Integer item
                    ? DocumentPath.item(path, item)
                    : DocumentPath.field(path, element.toString());
        }
        return path;
    }

    private JsonNode schemaAt(JsonNodePath location) {
        JsonNode schema = resolve(tree);
        for (int index = 0; index < location.getNameCount(); index++) {
            Object element = location.getElement(index);
            schema = element instanceof Integer ? resolve(schema.path("items")) : child(schema, element.toString());
        }
        return schema;
    }

    private JsonNode child(JsonNode schema, String name) {
        JsonNode propertySchema = schema.path("properties").path(name);
        return resolve(propertySchema.isMissingNode() ? schema.path("additionalProperties") : propertySchema);
    }

    private JsonNode resolve(JsonNode schema) {
        String reference = schema.path("$ref").asText();
        if (reference.isEmpty()) {
            return schema;
        }
        return resolve(tree.at(reference.substring(1)));
    }
}
