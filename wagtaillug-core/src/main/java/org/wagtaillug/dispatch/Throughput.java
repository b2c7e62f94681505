package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rate at which attempts of a pool have recently completed on this node; predicts how long a queue takes to drain.
 */
final class Throughput {
    private static final Duration WINDOW = Duration.ofSeconds(2);
    private static final int MIN_SAMPLES = 4;

    private final Deque<Instant> completions = new ArrayDeque<>();

    void onCompleted(Instant now) {
        completions.addLast(now);
        evictOld(now);
    }

    /** The time until this many attempts have completed at the current rate; zero while there are too few samples. */
    Duration timeToComplete(int attempts, Instant now) {
        evictOld(now);
        if (completions.size() < MIN_SAMPLES) {
            return Duration.ZERO;
        }
        return WINDOW.multipliedBy(attempts).dividedBy(completions.size());
    }

    private void evictOld(Instant now) {
        Instant windowStart = now.minus(WINDOW);
        while (!completions.isEmpty() && completions.peekFirst().isBefore(windowStart)) {
            completions.removeFirst();
        }
    }
}
