package org.wagtaillug.link;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.link.generated.DurationMessage;
import org.wagtaillug.link.generated.InstantMessage;

/** Converts instants and durations to and from protobuf, with nanosecond precision. */
final class TimeCodec {
    private TimeCodec() {}

    static DurationMessage encode(Duration duration) {
        return DurationMessage.newBuilder()
                .setSeconds(duration.getSeconds())
                .setNanos(duration.getNano())
                .build();
    }

    static InstantMessage encode(Instant instant) {
        return InstantMessage.newBuilder()
                .setSeconds(instant.getEpochSecond())
                .setNanos(instant.getNano())
                .build();
    }

    /**
     * Decodes a duration.
     *
     * @throws ArithmeticException if it exceeds the range of {@link Duration}
     */
    static Duration decode(DurationMessage message) {
        return Duration.ofSeconds(message.getSeconds(), message.getNanos());
    }

    /**
     * Decodes an instant.
     *
     * @throws DateTimeException if it exceeds the range of {@link Instant}
     */
    static Instant decode(InstantMessage message) {
        return Instant.ofEpochSecond(message.getSeconds(), message.getNanos());
    }
}
