package org.wagtaillug.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as people write them in settings: a whole number and one of {@code ms}, {@code s}, {@code m}, {@code h}. */
public final class DurationText {
    /** The longest duration that settings may name. */
    public static final Duration LONGEST = Duration.ofDays(30);

    private static final Pattern FORM = Pattern.compile("([0-9]{1,10})(ms|s|m|h)");

    private DurationText() {}

    /**
     * Reads a duration, for example {@code 250ms}.
     *
     * @return empty if the text has another form or means no time or more than {@link #LONGEST}
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = FORM.matcher(text);
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
        if (duration.isZero() || duration.compareTo(LONGEST) > 0) {
            return Optional.empty();
        }
        return Optional.of(duration);
    }

    /** Writes a duration in the largest unit that divides it; parts of a millisecond are dropped. */
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
