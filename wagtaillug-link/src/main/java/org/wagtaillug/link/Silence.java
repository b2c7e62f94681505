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

    boolean tooLong(long now) {
        return waiting && now - waitingSince >= limit;
    }
}
