package org.wagtaillug.daemon.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The present time of this process: the wall clock at the start, and from there only forwards.
 *
 * <p>Leases are lengths, so lengths are what is measured, with the monotonic clock. Two failures stand against it. A wall
 * clock that is set back would prolong every lease; it is ignored. A VM that is suspended may find its monotonic clock
 * stopped meanwhile, while other nodes' clocks went on; on waking it would hold its leases for good. It shows as a wall
 * clock that has gained on the monotonic one, and the gain is added: leases then end early, never late.
 */
public final class MonotonicClock {
    private static final Duration SUSPICIOUS_GAIN = Duration.ofSeconds(1);

    private final Clock wall;
    private final LongSupplier nanos;
    private final Instant start;
    private final long startNanos;
    private Duration gained = Duration.ZERO;

    /** A clock on this machine's clocks. */
    public MonotonicClock() {
        this(Clock.systemUTC(), System::nanoTime);
    }

    MonotonicClock(Clock wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        this.start = wall.instant();
        this.startNanos = nanos.getAsLong();
    }

    /** The present time. */
    public synchronized Instant now() {
        Duration measured = Duration.ofNanos(nanos.getAsLong() - startNanos).plus(gained);
        Duration shown = Duration.between(start, wall.instant());
        Duration gain = shown.minus(measured);
        if (gain.compareTo(SUSPICIOUS_GAIN) > 0) {
            gained = gained.plus(gain);
            measured = shown;
        }
        return start.plus(measured);
    }
}
