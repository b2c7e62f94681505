package org.wagtaillug.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.error.MarkedYAMLException;

/**
 * Parses a text token by token, to record the line of each value and to detect duplicate keys, which parsing into a
 * tree or an object would hide.
 */
final class DocumentReader {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory YAML = new YAMLFactory();
    private static final JsonFactory JSON = new JsonFactory();

    private final String file;
    private final String text;
    private final List<Document> documents = new ArrayList<>();
    private final List<SettingsProblem> problems = new ArrayList<>();
    private Map<String, Integer> lines = new HashMap<>();

    private DocumentReader(String text, String file) {
        this.text = text;
        this.file = file;
    }

    /**
     * The result of parsing a text.
     *
     * @param documents the documents that could be parsed, without empty ones
     * @param problems syntax problems
     */
    record ParseResult(List<Document> documents, List<SettingsProblem> problems) {}

    static ParseResult yaml(String text, String file) {
        return new DocumentReader(text, file).parse(YAML);
    }

    static ParseResult json(String text, String file) {
        return new DocumentReader(text, file).parse(JSON);
    }

    private ParseResult parse(JsonFactory factory) {
        try (JsonParser parser = factory.createParser(text)) {
            while (parser.nextToken() != null) {
                lines = new HashMap<>();
                JsonNode root = readValue(parser, DocumentPath.ROOT);
                if (!root.isNull()) {
                    documents.add(new Document(file, root, lines));
                }
            }
        } catch (JsonProcessingException exception) {
            problems.add(syntaxProblem(exception));
        } catch (IOException exception) {
            problems.add(problem(1, DocumentPath.ROOT, "unreadable text", "UTF-8 text: " + exception));
        }
        if (documents.isEmpty() && problems.isEmpty()) {
            problems.add(problem(1, DocumentPath.ROOT, "an empty text", "a document"));
        }
        return new ParseResult(documents, problems);
    }

    /** Reads the value that begins at the current token of the parser. */
    private JsonNode readValue(JsonParser parser, String path) throws IOException {
        lines.putIfAbsent(path, line(parser.currentTokenLocation()));
        rejectAlias(parser, path);
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMapping(parser, path);
            case START_ARRAY -> readList(parser, path);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            default -> NODES.nullNode();
        };
    }

    /**
     * Aliases would let a short text expand to a huge one, and would hide the lines of the values that they repeat.
     */
    private void rejectAlias(JsonParser parser, String path) throws IOException {
        if (parser instanceof YAMLParser yaml && yaml.isCurrentAlias()) {
            int line = line(parser.currentTokenLocation());
            problems.add(problem(line, path, "the alias *" + parser.getText(), "the value itself"));
        }
    }

    private ObjectNode readMapping(JsonParser parser, String path) throws IOException {
        ObjectNode mapping = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String fieldPath = DocumentPath.field(path, name);
            int line = line(parser.currentTokenLocation());
            if (mapping.has(name)) {
                String once = "it once, as at line " + lines.get(fieldPath);
                problems.add(problem(line, fieldPath, ValueText.quoted(name) + " again", once));
            }
            lines.putIfAbsent(fieldPath, line);
            parser.nextToken();
            JsonNode value = readValue(parser, fieldPath);
            if (!mapping.has(name)) {
                mapping.set(name, value);
            }
        }
        return mapping;
    }

    private ArrayNode readList(JsonParser parser, String path) throws IOException {
        ArrayNode list = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readValue(parser, DocumentPath.item(path, list.size())));
        }
        return list;
    }

    private SettingsProblem syntaxProblem(JsonProcessingException exception) {
        int line = line(exception.getLocation());
        String reason = exception.getOriginalMessage().lines().findFirst().orElse("");
        if (exception.getCause() instanceof MarkedYAMLException yamlException
                && yamlException.getProblemMark() != null) {
            line = yamlException.getProblemMark().getLine() + 1;
            reason = reason(yamlException);
        }
        if (indentedWithTab(line)) {
            return problem(line, DocumentPath.ROOT, "a tab in the indentation", "spaces");
        }
        String found = "invalid syntax (" + ValueText.printable(reason) + ")";
        return problem(line, DocumentPath.ROOT, found, "valid YAML or JSON");
    }

    private static String reason(MarkedYAMLException yamlException) {
        if (yamlException.getContext() == null || yamlException.getContextMark() == null) {
            return yamlException.getProblem();
        }
        int contextLine = yamlException.getContextMark().getLine() + 1;
        return yamlException.getContext() + " from line " + contextLine + ": " + yamlException.getProblem();
    }

    private boolean indentedWithTab(int line) {
        String content = text.lines().skip(line - 1L).findFirst().orElse("");
        int indentation = content.length() - content.stripLeading().length();
        return content.substring(0, indentation).indexOf('\t') >= 0;
    }

    private SettingsProblem problem(int line, String path, String found, String expected) {
        return new SettingsProblem(file, line, path, found, expected, Optional.empty());
    }

    private static int line(JsonLocation location) {
        return location == null ? 1 : Math.max(1, location.getLineNr());
    }
}
