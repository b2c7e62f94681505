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
        Duration share = length.dividedBy(EXIT_RESERVE_DIVISOR);
        return share.compareTo(MAX_EXIT_RESERVE) < 0 ? share : MAX_EXIT_RESERVE;
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
