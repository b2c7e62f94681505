package org.wagtaillug.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The JSON mapper of the process. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses a value, or returns the parse error. */
    public static Try<JsonNode> read(byte[] bytes) {
        return Try.of(() -> MAPPER.readTree(bytes));
    }

    /** Parses a value from text, or returns the parse error. */
    public static Try<JsonNode> read(String text) {
        return Try.of(() -> MAPPER.readTree(text));
    }

    /** Converts a bean or record to a value. */
    public static JsonNode value(Object bean) {
        return MAPPER.valueToTree(bean);
    }

    /** Serializes a value as UTF-8. */
    public static byte[] write(JsonNode value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    /** Serializes a value as text. */
    public static String text(JsonNode value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException("a JSON tree is always serializable", impossible);
        }
    }
}
