package org.wagtaillug.standin.upstream;

import java.util.SplittableRandom;

/** Generates processing times, distributed uniformly within 20% of the mean (a fifth). Not thread-safe. */
final class WorkTime {
    private static final double RELATIVE_SPREAD = 0.2;

    private final long meanMillis;
    private final SplittableRandom random;

    WorkTime(long meanMillis, long seed) {
        this.meanMillis = meanMillis;
        this.random = new SplittableRandom(seed);
    }

    long next() {
        double factor = 1 - RELATIVE_SPREAD + 2 * RELATIVE_SPREAD * random.nextDouble();
        return Math.round(meanMillis * factor);
    }
}
