package org.wagtaillug.link;

import java.time.Duration;

/** How long to wait before the next try to connect: doubles with each failure up to a limit. */
final class Backoff {
    private static final Duration FIRST = Duration.ofMillis(100);

    /**
     * A peer that starts anew is away for about a second and a half; a node that waits two seconds between dials would be
     * without it for longer than its start takes. A dial costs one packet.
     */
    private static final Duration LONGEST = Duration.ofMillis(300);

    private Duration next = FIRST;

    /** The wait before the next try; the one after it is twice as long. */
    Duration take() {
        Duration wait = next;
        Duration doubled = next.multipliedBy(2);
        next = doubled.compareTo(LONGEST) < 0 ? doubled : LONGEST;
        return wait;
    }

    void reset() {
        next = FIRST;
    }
}
