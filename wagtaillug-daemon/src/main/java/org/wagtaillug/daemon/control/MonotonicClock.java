package org.wagtaillug.daemon.control;

import java.time.Instant;

/**
 * The present time of this process: the wall clock at the start, and from there only forwards at an even rate.
 *
 * <p>Guards against a wall clock that is set: a jump forwards would end every lease and deadline at once, a jump
 * backwards would prolong them. Leases are lengths, and the monotonic clock measures lengths.
 */
public final class MonotonicClock {
    private final Instant start = Instant.now();
    private final long startNanos = System.nanoTime();

    /** The present time. */
    public Instant now() {
        return start.plusNanos(System.nanoTime() - startNanos);
    }
}
