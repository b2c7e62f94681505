package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits a node's appends to its share of the log service's total append rate. Unused capacity accumulates up to a
 * burst of 10 appends, so that a single claim does not wait.
 */
final class AppendRateLimiter {
    private static final int BURST_APPENDS = 10;

    private final Duration appendInterval;
    /** The time up to which the rate is used up; in the past while capacity is accumulated. */
    private Instant usedUntil = Instant.MIN;

    AppendRateLimiter(int appendsPerSecond) {
        this.appendInterval = Duration.ofSeconds(1).dividedBy(appendsPerSecond);
    }

    /** Uses one append if the rate allows it now. Returns whether it did. */
    boolean tryAcquire(Instant now) {
        Instant earliest = now.minus(appendInterval.multipliedBy(BURST_APPENDS));
        if (usedUntil.isBefore(earliest)) {
            usedUntil = earliest;
        }
        Instant next = usedUntil.plus(appendInterval);
        if (next.isAfter(now)) {
            return false;
        }
        usedUntil = next;
        return true;
    }
}
