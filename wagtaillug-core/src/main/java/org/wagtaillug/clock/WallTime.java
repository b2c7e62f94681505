package org.wagtaillug.clock;

/**
 * A time by a wall clock. Unlike the steady time of a node, it can be compared with what other processes have written, as far as
 * their clocks agree.
 *
 * @param epochMillis milliseconds since 1970-01-01T00:00:00Z
 */
public record WallTime(long epochMillis) {
    /** Whether this time is before another one. */
    public boolean isBefore(WallTime other) {
        return epochMillis < other.epochMillis;
    }
}
