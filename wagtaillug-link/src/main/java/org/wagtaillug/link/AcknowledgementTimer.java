package org.wagtaillug.link;

import java.time.Duration;

/**
 * Detects a connection on which nothing has been received within the timeout after a write. An idle connection, on
 * which nothing was written either, does not time out. Times are nanoseconds of a monotonic clock.
 */
final class AcknowledgementTimer {
    private final long timeout;
    private boolean pending;
    private long pendingSince;

    AcknowledgementTimer(Duration timeout) {
        this.timeout = timeout.toNanos();
    }

    void onWrite(long now) {
        if (pending) {
            return;
        }
        pending = true;
        pendingSince = now;
    }

    void onRead() {
        pending = false;
    }

    /** Whether something was written and nothing has been received since. */
    boolean pending() {
        return pending;
    }

    /** The time until the timeout expires, 0 if it has expired. */
    long remaining(long now) {
        return Math.max(0, pendingSince + timeout - now);
    }

    boolean expired(long now) {
        return pending && remaining(now) == 0;
    }
}
