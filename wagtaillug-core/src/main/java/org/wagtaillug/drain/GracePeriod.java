package org.wagtaillug.drain;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The grace period from the shutdown request until the process is killed. The last answers are due shortly before its
 * end, so that they can be written and the ports closed.
 *
 * <p>The time that a request needs is compared with the remaining time. Without that check, a node would accept
 * requests that are cut off at the end of the grace period, and their callers would see a closed connection.
 */
public final class GracePeriod {
    /** The time reserved for writing the last answers and closing the ports, at most. */
    private static final Duration MAX_EXIT_RESERVE = Duration.ofMillis(400);

    /** A short grace period reserves this share of it: one in eight. */
    private static final int EXIT_RESERVE_DIVISOR = 8;

    /** The time for a caller that is still sending to read its refusal, at most. */
    private static final Duration MAX_REFUSAL_TIME = Duration.ofSeconds(1);

    /** A short grace period reserves this share of it for reading a refusal: one in four. */
    private static final int REFUSAL_TIME_DIVISOR = 4;

    private final Duration length;
    private Optional<Instant> startedAt = Optional.empty();

    /**
     * Creates a grace period that has not started yet.
     *
     * @param length the time from the shutdown request until the process is killed
     */
    public GracePeriod(Duration length) {
        this.length = length;
    }

    /** The share of a grace period that is reserved for writing the last answers and closing the ports. */
    public static Duration exitReserve(Duration length) {
        return portion(length, EXIT_RESERVE_DIVISOR, MAX_EXIT_RESERVE);
    }

    /**
     * How long before the end of a grace period a request is refused whose body is still incomplete. Its caller may be
     * slow to read the refusal, and loses the rest of it when the process exits.
     */
    public static Duration bodyReserve(Duration length) {
        return exitReserve(length).plus(portion(length, REFUSAL_TIME_DIVISOR, MAX_REFUSAL_TIME));
    }

    private static Duration portion(Duration length, int divisor, Duration maximum) {
        Duration share = length.dividedBy(divisor);
        return share.compareTo(maximum) < 0 ? share : maximum;
    }

    /** Starts the grace period; further calls have no effect. */
    public void start(Instant requestedAt) {
        if (startedAt.isEmpty()) {
            startedAt = Optional.of(requestedAt);
        }
    }

    /** Whether the grace period has started. */
    public boolean started() {
        return startedAt.isPresent();
    }

    /** The time since the start of the grace period; zero if it has not started. */
    public Duration since(Instant now) {
        return startedAt.map(started -> Duration.between(started, now)).orElse(Duration.ZERO);
    }

    /** Whether the time for answers is over. */
    public boolean outOfTime(Instant now) {
        return startedAt.isPresent() && !now.isBefore(answersDue(startedAt.get()));
    }

    /** Whether work of the given duration would complete before the time for answers is over; always false after it. */
    public boolean hasTimeFor(Duration needed, Instant now) {
        Duration time = needed.isNegative() ? Duration.ZERO : needed;
        return startedAt.isEmpty() || !now.plus(time).isAfter(answersDue(startedAt.get()));
    }

    private Instant answersDue(Instant started) {
        return started.plus(length).minus(exitReserve(length));
    }
}
