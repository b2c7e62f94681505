package org.wagtaillug.link;

import java.time.Duration;

/** Exponential backoff between connection attempts: the delay doubles with each failure up to a maximum. */
final class Backoff {
    private static final Duration INITIAL_DELAY = Duration.ofMillis(100);

    /**
     * A peer that restarts is unreachable for about 1.5 s. With 2 s between attempts a node would stay disconnected
     * for longer than the restart takes. An attempt costs one packet.
     */
    private static final Duration MAX_DELAY = Duration.ofMillis(300);

    private Duration delay = INITIAL_DELAY;

    /** Returns the delay before the next attempt and doubles the one after it, up to the maximum. */
    Duration nextDelay() {
        Duration current = delay;
        Duration doubled = delay.multipliedBy(2);
        delay = doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
        return current;
    }

    void reset() {
        delay = INITIAL_DELAY;
    }
}
