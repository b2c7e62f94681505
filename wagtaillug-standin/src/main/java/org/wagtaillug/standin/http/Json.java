package org.wagtaillug.standin.http;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes the JSON messages of the stand-ins. Member names are in snake case. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
            .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true)
            .build();

    private Json() {}

    /** Returns the underlying mapper, for tree access. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Reads a message.
     *
     * @return the message, or an error message
     */
    public static <T> Either<String, T> read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                return Either.left("the body is null, expected a JSON object");
            }
            return Either.right(value);
        } catch (JsonProcessingException malformed) {
            return Either.left("the body is not as expected: " + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            return Either.left("the body cannot be read: " + unreadable.getMessage());
        }
    }

    /** Writes a message as UTF-8 bytes. */
    public static byte[] write(Object value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    /** Writes a message as a single line of text. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException unwritable) {
            throw new IllegalArgumentException(
                    "cannot write " + value.getClass().getName() + " as JSON", unwritable);
        }
    }
}
