package org.wagtaillug.clock;

import java.time.Duration;
import java.util.Optional;

/** Notices that the wall clock has been set, or has gone on while this process was suspended. Not thread-safe. */
public final class WallClockMonitor {
    /** A wall clock that is only adjusted in its rate takes minutes to gain or lose this much. */
    private static final Duration MIN_CHANGE = Duration.ofMillis(100);

    private final SteadyClock clock;
    private Duration reported = Duration.ZERO;

    /** Creates a monitor that compares the wall clock with the given clock. */
    public WallClockMonitor(SteadyClock clock) {
        this.clock = clock;
    }

    /** By how much the wall clock is ahead of the steady clock, if that has changed since the last change reported. */
    public Optional<Duration> pollChange() {
        Duration offset = clock.wallOffset();
        if (offset.minus(reported).abs().compareTo(MIN_CHANGE) < 0) {
            return Optional.empty();
        }
        reported = offset;
        return Optional.of(offset);
    }
}
