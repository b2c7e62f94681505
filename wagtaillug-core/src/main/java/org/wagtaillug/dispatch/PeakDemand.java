package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;

/**
 * The peak demand for a pool over the last one to two seconds.
 *
 * <p>The demand for a pool whose requests take milliseconds rises and falls many times a second. Requesting and
 * returning allowances each time would cost more messages than the work itself.
 */
final class PeakDemand {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private Instant periodEnd = Instant.MIN;
    private int previousPeak;
    private int currentPeak;

    /** Adds a sample of the current demand and returns the peak. */
    int update(int demand, Instant now) {
        if (!now.isBefore(periodEnd)) {
            boolean outdated = periodEnd.equals(Instant.MIN) || !now.isBefore(periodEnd.plus(PERIOD));
            previousPeak = outdated ? 0 : currentPeak;
            currentPeak = 0;
            periodEnd = now.plus(PERIOD);
        }
        currentPeak = Math.max(currentPeak, demand);
        return Math.max(previousPeak, currentPeak);
    }
}
