package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;

/**
 * The most that was wanted of a pool at once during the last one to two seconds.
 *
 * <p>A pool whose work takes milliseconds is wanted and not wanted many times a second. Asking for allowances and giving
 * them back each time would cost more messages than the work has.
 */
final class PeakDemand {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private Instant periodEnd = Instant.MIN;
    private int before;
    private int during;

    /** Notes what is wanted now and gives the peak. */
    int note(int wanted, Instant now) {
        if (!now.isBefore(periodEnd)) {
            boolean longAgo = periodEnd.equals(Instant.MIN) || !now.isBefore(periodEnd.plus(PERIOD));
            before = longAgo ? 0 : during;
            during = 0;
            periodEnd = now.plus(PERIOD);
        }
        during = Math.max(during, wanted);
        return Math.max(before, during);
    }
}
