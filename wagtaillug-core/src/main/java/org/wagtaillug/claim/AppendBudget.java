package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps a node's appends to its share of what the log service takes from all nodes together. Unused appends are saved up
 * for a burst, so that a single claim does not wait.
 */
final class AppendBudget {
    private static final int BURST = 10;

    private final Duration perAppend;
    /** The time up to which the budget is spent; in the past while appends are saved up. */
    private Instant spentUntil = Instant.MIN;

    AppendBudget(int appendsPerSecond) {
        this.perAppend = Duration.ofSeconds(1).dividedBy(appendsPerSecond);
    }

    /** Takes one append from the budget if there is one. */
    boolean take(Instant now) {
        Instant earliest = now.minus(perAppend.multipliedBy(BURST));
        if (spentUntil.isBefore(earliest)) {
            spentUntil = earliest;
        }
        Instant after = spentUntil.plus(perAppend);
        if (after.isAfter(now)) {
            return false;
        }
        spentUntil = after;
        return true;
    }
}
