package org.wagtaillug.clock;

import java.time.Duration;

/** The offset of the wall clock from the steady time by which a node decides. */
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
}
