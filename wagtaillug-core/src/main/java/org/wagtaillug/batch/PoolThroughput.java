package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SortedSet;
import java.util.TreeSet;

/** Recent statistics of a pool: the fill ratio of its calls and the arrival rates of orders by rank. */
final class PoolThroughput {
    /** Averaging window for arrivals: long enough to span several groups of requests, short enough to show a burst. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    /** Weight of the newest call. */
    private static final double EWMA_ALPHA = 0.2;

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double fillRatio = 1;

    private record Arrival(Instant at, int rank, int items) {}

    void onOrder(BatchOrder order, Instant now) {
        expire(now);
        arrivals.addLast(new Arrival(now, order.urgency().rank(), order.items()));
    }

    /**
     * Records the start of a call.
     *
     * @param items the number of items in the call
     * @param maxItems the maximum number of items in a call
     * @param backlog whether items are still queued; a call that empties the queue does not show how full calls could be
     */
    void onCall(int items, int maxItems, boolean backlog) {
        double newest = backlog ? (double) items / maxItems : 1;
        fillRatio = fillRatio * (1 - EWMA_ALPHA) + newest * EWMA_ALPHA;
    }

    /** The average fill ratio of calls under backlog; below 1 when result capacity limits the calls. */
    double fillRatio() {
        return fillRatio;
    }

    /** Arrival rate, in items per second, of the ranks below a rank, which are served before it whenever they arrive. */
    double rateBelow(int rank, Instant now) {
        expire(now);
        int items = 0;
        for (Arrival arrival : arrivals) {
            items += arrival.rank() < rank ? arrival.items() : 0;
        }
        return items / (WINDOW.toMillis() / 1000.0);
    }

    /** The ranks of recent orders, in ascending order. */
    SortedSet<Integer> ranks(Instant now) {
        expire(now);
        SortedSet<Integer> ranks = new TreeSet<>();
        arrivals.forEach(arrival -> ranks.add(arrival.rank()));
        return ranks;
    }

    private void expire(Instant now) {
        Instant oldest = now.minus(WINDOW);
        while (!arrivals.isEmpty() && arrivals.peekFirst().at().isBefore(oldest)) {
            arrivals.removeFirst();
        }
    }
}
