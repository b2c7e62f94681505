package org.wagtaillug.standin.experiment;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.wagtaillug.standin.load.DurationDeserializer;

/** Reads and writes YAML files with member names in snake case and durations such as {@code 250ms}. */
final class YamlFiles {
    private static final ObjectMapper YAML = YAMLMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .addModule(new SimpleModule().addDeserializer(Duration.class, new DurationDeserializer()))
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private YamlFiles() {}

    /**
     * Reads a file.
     *
     * @return its content, nothing for a file that contains only comments, or an error message
     */
    static <T> Either<String, Option<T>> read(Path file, Class<T> type) {
        if (!Files.isReadable(file)) {
            return Either.left(file + ": not found, expected a readable file");
        }
        try (JsonParser parser = YAML.createParser(Files.readString(file))) {
            if (parser.nextToken() == null) {
                return Either.right(Option.none());
            }
            return Either.right(Option.of(YAML.readValue(parser, type)));
        } catch (JsonProcessingException invalid) {
            return Either.left(file + ": " + invalid.getOriginalMessage());
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    static void write(Path file, Object value) throws IOException {
        YAML.writeValue(file.toFile(), value);
    }
}
