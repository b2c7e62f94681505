package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** The rate at which the servers of a pool have processed releases recently. */
final class RecentReleases {
    /** As long as the window of arrivals in {@link PoolThroughput}: spans several groups of requests. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    private final Deque<Released> released = new ArrayDeque<>();

    private record Released(Instant at, long bytes) {}

    void onReleased(long bytes, Instant now) {
        expire(now);
        released.addLast(new Released(now, bytes));
    }

    /** Bytes released per second. */
    double bytesPerSecond(Instant now) {
        expire(now);
        long bytes = 0;
        for (Released each : released) {
            bytes += each.bytes();
        }
        return bytes / (WINDOW.toMillis() / 1000.0);
    }

    private void expire(Instant now) {
        Instant oldest = now.minus(WINDOW);
        while (!released.isEmpty() && released.peekFirst().at().isBefore(oldest)) {
            released.removeFirst();
        }
    }
}
