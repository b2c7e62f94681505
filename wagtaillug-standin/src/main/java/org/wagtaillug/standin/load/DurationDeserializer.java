package org.wagtaillug.standin.load;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Deserializes a duration written as a whole number with a unit: {@code ms}, {@code s}, {@code m} or {@code h}. */
public final class DurationDeserializer extends StdDeserializer<Duration> {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");

    /** Creates a deserializer. */
    public DurationDeserializer() {
        super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        String text = parser.getText();
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return (Duration) context.handleWeirdStringValue(
                    Duration.class, text, "expected a whole number with ms, s, m or h, for example 250ms");
        }
        long count = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }
}
