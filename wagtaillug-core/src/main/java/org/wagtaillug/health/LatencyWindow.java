package org.wagtaillug.health;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** A sliding window of the latest durations of one pool, kept sorted so that a quantile is a single array access. */
final class LatencyWindow {
    /** The number of durations in a full window. */
    static final int SIZE = 256;

    private final long[] byAge = new long[SIZE];
    private final long[] sorted = new long[SIZE];
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
        int index = Arrays.binarySearch(sorted, 0, count, added);
        int insert = index < 0 ? -index - 1 : index;
        System.arraycopy(sorted, insert, sorted, insert + 1, count - insert);
        sorted[insert] = added;
        count++;
    }

    private void remove(long nanos) {
        int index = Arrays.binarySearch(sorted, 0, count, nanos);
        System.arraycopy(sorted, index + 1, sorted, index, count - index - 1);
        count--;
    }

    /**
     * The nearest-rank quantile of the durations in the window.
     *
     * @param quantile above 0, at most 1
     * @return empty if the window is empty
     */
    Optional<Duration> quantile(double quantile) {
        if (count == 0) {
            return Optional.empty();
        }
        int rank = (int) Math.ceil(quantile * count);
        int index = Math.min(count - 1, Math.max(0, rank - 1));
        return Optional.of(Duration.ofNanos(sorted[index]));
    }
}
