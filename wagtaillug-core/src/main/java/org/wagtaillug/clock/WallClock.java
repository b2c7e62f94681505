package org.wagtaillug.clock;

import java.time.Duration;
import java.time.Instant;

/** Converts between the steady time by which a node decides and wall-clock time. */
public final class WallClock {
    private Duration offset = Duration.ZERO;

    /**
     * Sets by how much the wall clock is ahead of the steady time.
     *
     * @return the change
     */
    public Duration set(Duration latest) {
        Duration change = latest.minus(offset);
        offset = latest;
        return change;
    }

    /** The wall-clock time at a steady time, as the wall clock is set now. */
    public WallTime wallTime(Instant steadyTime) {
        return new WallTime(steadyTime.plus(offset).toEpochMilli());
    }

    /** The steady time at a wall-clock time, as the wall clock is set now. */
    public Instant steadyTime(WallTime wallTime) {
        return Instant.ofEpochMilli(wallTime.epochMillis()).minus(offset);
    }
}
