package org.wagtaillug.standin.upstream;

import java.util.SplittableRandom;

/** How long each piece of work takes: the mean, give or take a fifth. Not safe from several threads. */
final class WorkTime {
    private static final double SPREAD = 0.2;

    private final long meanMillis;
    private final SplittableRandom random;

    WorkTime(long meanMillis, long seed) {
        this.meanMillis = meanMillis;
        this.random = new SplittableRandom(seed);
    }

    long next() {
        double factor = 1 - SPREAD + 2 * SPREAD * random.nextDouble();
        return Math.round(meanMillis * factor);
    }
}
