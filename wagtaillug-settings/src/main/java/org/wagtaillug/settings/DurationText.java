package org.wagtaillug.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The text form of durations in settings: an integer and a unit, {@code ms}, {@code s}, {@code m} or {@code h}. */
public final class DurationText {
    /** Maximum duration in settings. */
    public static final Duration MAX_DURATION = Duration.ofDays(30);

    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,10})(ms|s|m|h)");

    private DurationText() {}

    /**
     * Parses a duration, for example {@code 250ms}.
     *
     * @return empty if the text has another form, or the duration is 0 or longer than {@link #MAX_DURATION}
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        Duration duration =
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    case "m" -> Duration.ofMinutes(count);
                    default -> Duration.ofHours(count);
                };
        if (duration.isZero() || duration.compareTo(MAX_DURATION) > 0) {
            return Optional.empty();
        }
        return Optional.of(duration);
    }

    /** Formats a duration in the largest unit that divides it; fractions of a millisecond are dropped. */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis % Duration.ofHours(1).toMillis() == 0) {
            return duration.toHours() + "h";
        }
        if (millis % Duration.ofMinutes(1).toMillis() == 0) {
            return duration.toMinutes() + "m";
        }
        if (millis % Duration.ofSeconds(1).toMillis() == 0) {
            return duration.toSeconds() + "s";
        }
        return millis + "ms";
    }
}
