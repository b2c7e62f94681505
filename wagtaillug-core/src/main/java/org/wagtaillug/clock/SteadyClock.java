package org.wagtaillug.clock;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The wall-clock time at the start of this process plus the monotonic time since. It is never set, neither back nor ahead, so
 * no time that is measured with it ends early; on a VM that is suspended it may stand still. Leases are measured with a
 * {@link LeaseClock}.
 */
public final class SteadyClock {
    private final Clock wall;
    private final LongSupplier nanos;
    private final Instant start;
    private final long startNanos;

    /**
     * Creates a clock.
     *
     * @param wall the wall clock
     * @param nanos the monotonic clock, in nanoseconds
     */
    public SteadyClock(Clock wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        this.start = wall.instant();
        this.startNanos = nanos.getAsLong();
    }

    /** The current time. */
    public Instant now() {
        return start.plusNanos(nanos.getAsLong() - startNanos);
    }

    /** By how much the wall clock is ahead of this clock; negative if it is behind. */
    public Duration wallOffset() {
        return Duration.between(now(), wall.instant());
    }
}
