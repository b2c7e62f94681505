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
 * Reads a text token by token, so that each place gets its line and a key that stands twice is seen, which a reading
 * into a tree or an object would hide.
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
     * What a text held.
     *
     * @param documents those that could be read, empty ones left out
     * @param problems of the syntax
     */
    record Reading(List<Document> documents, List<SettingsProblem> problems) {}

    static Reading yaml(String text, String file) {
        return new DocumentReader(text, file).read(YAML);
    }

    static Reading json(String text, String file) {
        return new DocumentReader(text, file).read(JSON);
    }

    private Reading read(JsonFactory factory) {
        try (JsonParser parser = factory.createParser(text)) {
            while (parser.nextToken() != null) {
                lines = new HashMap<>();
                JsonNode root = value(parser, DocumentPath.ROOT);
                if (!root.isNull()) {
                    documents.add(new Document(file, root, lines));
                }
            }
        } catch (JsonProcessingException fault) {
            problems.add(syntaxProblem(fault));
        } catch (IOException fault) {
            problems.add(problem(1, DocumentPath.ROOT, "text that cannot be read", "UTF-8 text: " + fault));
        }
        if (documents.isEmpty() && problems.isEmpty()) {
            problems.add(problem(1, DocumentPath.ROOT, "an empty text", "a document"));
        }
        return new Reading(documents, problems);
    }

    /** Reads the value at whose first token the parser stands. */
    private JsonNode value(JsonParser parser, String path) throws IOException {
        lines.putIfAbsent(path, line(parser.currentTokenLocation()));
        rejectAlias(parser, path);
        return switch (parser.currentToken()) {
            case START_OBJECT -> mapping(parser, path);
            case START_ARRAY -> list(parser, path);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            default -> NODES.nullNode();
        };
    }

    /** Aliases would let a short text stand for a huge one, and hide the line of what they repeat. */
    private void rejectAlias(JsonParser parser, String path) throws IOException {
        if (parser instanceof YAMLParser yaml && yaml.isCurrentAlias()) {
            int line = line(parser.currentTokenLocation());
            problems.add(problem(line, path, "the alias *" + parser.getText(), "the value itself"));
        }
    }

    private ObjectNode mapping(JsonParser parser, String path) throws IOException {
        ObjectNode mapping = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String place = DocumentPath.field(path, name);
            int line = line(parser.currentTokenLocation());
            if (mapping.has(name)) {
                String once = "it once, as at line " + lines.get(place);
                problems.add(problem(line, place, Found.quoted(name) + " again", once));
            }
            lines.putIfAbsent(place, line);
            parser.nextToken();
            JsonNode value = value(parser, place);
            if (!mapping.has(name)) {
                mapping.set(name, value);
            }
        }
        return mapping;
    }

    private ArrayNode list(JsonParser parser, String path) throws IOException {
        ArrayNode list = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(value(parser, DocumentPath.item(path, list.size())));
        }
        return list;
    }

    private SettingsProblem syntaxProblem(JsonProcessingException fault) {
        int line = line(fault.getLocation());
        String reason = fault.getOriginalMessage().lines().findFirst().orElse("");
        if (fault.getCause() instanceof MarkedYAMLException marked && marked.getProblemMark() != null) {
            line = marked.getProblemMark().getLine() + 1;
            reason = reason(marked);
        }
        if (indentedWithTab(line)) {
            return problem(line, DocumentPath.ROOT, "a tab in the indentation", "spaces");
        }
        String found = "text that cannot be read (" + Found.printable(reason) + ")";
        return problem(line, DocumentPath.ROOT, found, "valid YAML or JSON");
    }

    private static String reason(MarkedYAMLException marked) {
        if (marked.getContext() == null || marked.getContextMark() == null) {
            return marked.getProblem();
        }
        int begin = marked.getContextMark().getLine() + 1;
        return marked.getContext() + " from line " + begin + ": " + marked.getProblem();
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
