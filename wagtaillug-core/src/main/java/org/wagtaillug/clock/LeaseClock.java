package org.wagtaillug.clock;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The time of a node that holds leases: the wall-clock time at the start plus the monotonic time since, so it never goes
 * back. Limits that must not end early are measured with a {@link SteadyClock}.
 *
 * <p>Leases are durations, so they are measured with the monotonic clock. Two failures are covered. A wall clock that
 * is set back would prolong every lease; the step is ignored. On a suspended VM the monotonic clock may stop while the
 * clocks of other nodes go on, and after waking the VM would hold its leases indefinitely. Then the wall clock has
 * gained on the monotonic clock, and the gain is added: leases end early, never late.
 */
public final class LeaseClock {
    private static final Duration MAX_WALL_CLOCK_GAIN = Duration.ofSeconds(1);

    private final Clock wall;
    private final LongSupplier nanos;
    private final Instant start;
    private final long startNanos;
    private Duration gained = Duration.ZERO;

    /** Creates a clock that uses the system clocks. */
    public LeaseClock() {
        this(Clock.systemUTC(), System::nanoTime);
    }

    LeaseClock(Clock wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        this.start = wall.instant();
        this.startNanos = nanos.getAsLong();
    }

    /** The current time. */
    public synchronized Instant now() {
        Duration elapsed = Duration.ofNanos(nanos.getAsLong() - startNanos).plus(gained);
        Duration wallElapsed = Duration.between(start, wall.instant());
        Duration gain = wallElapsed.minus(elapsed);
        if (gain.compareTo(MAX_WALL_CLOCK_GAIN) > 0) {
            gained = gained.plus(gain);
            elapsed = wallElapsed;
        }
        return start.plus(elapsed);
    }
}
