package org.wagtaillug.link;

import java.time.Duration;

/**
 * Tells a connection that is idle from one that is silent: something was written, and nothing came back for too long.
 * Times are nanoseconds of a clock that only runs forward.
 */
final class Silence {
    private final long limit;
    private boolean waiting;
    private long waitingSince;

    Silence(Duration limit) {
        this.limit = limit.toNanos();
    }

    void written(long now) {
        if (waiting) {
            return;
        }
        waiting = true;
        waitingSince = now;
    }

    void heard() {
        waiting = false;
    }

    /** Whether something was written of which nothing is heard yet. */
    boolean waiting() {
        return waiting;
    }

    /** How long until it is too long, if nothing is heard; 0 if it is. */
    long left(long now) {
        return Math.max(0, waitingSince + limit - now);
    }

    boolean tooLong(long now) {
        return waiting && left(now) == 0;
    }
}
