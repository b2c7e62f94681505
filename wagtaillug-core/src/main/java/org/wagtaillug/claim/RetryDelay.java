package org.wagtaillug.claim;

import java.time.Duration;

/** How long to leave the log service alone after a failure: doubles with each one up to a limit. */
final class RetryDelay {
    private static final Duration FIRST = Duration.ofMillis(200);
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private Duration next = FIRST;

    Duration take() {
        Duration delay = next;
        Duration doubled = next.multipliedBy(2);
        next = doubled.compareTo(LONGEST) < 0 ? doubled : LONGEST;
        return delay;
    }

    void reset() {
        next = FIRST;
    }
}
