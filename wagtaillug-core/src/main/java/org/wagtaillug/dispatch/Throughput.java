package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** How many attempts of a pool this node has seen end well of late, to tell how long a queue takes. */
final class Throughput {
    private static final Duration WINDOW = Duration.ofSeconds(2);
    private static final int FEWEST = 4;

    private final Deque<Instant> ends = new ArrayDeque<>();

    void ended(Instant now) {
        ends.addLast(now);
        forget(now);
    }

    /** How long it takes until so many have ended, at the present rate; zero while too few were seen to tell. */
    Duration timeFor(int attempts, Instant now) {
        forget(now);
        if (ends.size() < FEWEST) {
            return Duration.ZERO;
        }
        return WINDOW.multipliedBy(attempts).dividedBy(ends.size());
    }

    private void forget(Instant now) {
        Instant oldest = now.minus(WINDOW);
        while (!ends.isEmpty() && ends.peekFirst().isBefore(oldest)) {
            ends.removeFirst();
        }
    }
}
