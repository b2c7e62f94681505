package org.wagtaillug.link;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.link.generated.DurationMessage;
import org.wagtaillug.link.generated.InstantMessage;

/** Points and lengths of time to and from protobuf, exact to the nanosecond. */
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
     * Reads a length of time.
     *
     * @throws ArithmeticException if it is longer than {@link Duration} can hold
     */
    static Duration decode(DurationMessage message) {
        return Duration.ofSeconds(message.getSeconds(), message.getNanos());
    }

    /**
     * Reads a point in time.
     *
     * @throws DateTimeException if it is beyond what {@link Instant} can hold
     */
    static Instant decode(InstantMessage message) {
        return Instant.ofEpochSecond(message.getSeconds(), message.getNanos());
    }
}
