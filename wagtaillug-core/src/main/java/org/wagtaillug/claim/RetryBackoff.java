package org.wagtaillug.claim;

import java.time.Duration;

/** Delay before the next try after a log service failure; doubles with each failure up to a limit. */
final class RetryBackoff {
    private static final Duration INITIAL_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_DELAY = Duration.ofSeconds(1);

    private Duration nextDelay = INITIAL_DELAY;

    Duration next() {
        Duration delay = nextDelay;
        Duration doubled = nextDelay.multipliedBy(2);
        nextDelay = doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
        return delay;
    }

    void reset() {
        nextDelay = INITIAL_DELAY;
    }
}
