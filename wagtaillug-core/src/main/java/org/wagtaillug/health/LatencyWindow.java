package org.wagtaillug.health;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** The last durations of one pool, kept in the order of their lengths so that a quantile is one look. */
final class LatencyWindow {
    /** How many durations are kept. */
    static final int SIZE = 256;

    private final long[] byAge = new long[SIZE];
    private final long[] byLength = new long[SIZE];
    private int count;
    private int oldest;

    /** Adds a duration; drops the oldest one when full. */
    void add(Duration duration) {
        long added = duration.toNanos();
        if (count == SIZE) {
            remove(byAge[oldest]);
        }
        byAge[oldest] = added;
        oldest = (oldest + 1) % SIZE;
        int place = Arrays.binarySearch(byLength, 0, count, added);
        int insert = place < 0 ? -place - 1 : place;
        System.arraycopy(byLength, insert, byLength, insert + 1, count - insert);
        byLength[insert] = added;
        count++;
    }

    private void remove(long length) {
        int place = Arrays.binarySearch(byLength, 0, count, length);
        System.arraycopy(byLength, place + 1, byLength, place, count - place - 1);
        count--;
    }

    /**
     * The nearest-rank quantile of the durations kept.
     *
     * @param quantile above 0, at most 1
     * @return empty while there is none
     */
    Optional<Duration> quantile(double quantile) {
        if (count == 0) {
            return Optional.empty();
        }
        int rank = (int) Math.ceil(quantile * count);
        int index = Math.min(count - 1, Math.max(0, rank - 1));
        return Optional.of(Duration.ofNanos(byLength[index]));
    }
}
