package org.wagtaillug.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This node's share of the retries that all nodes together may send to a pool in any time window.
 *
 * <p>Prevents retry storms without coordination between nodes: the variable part is proportional to this node's own requests,
 * and the fixed part is divided by the number of nodes that share it. A node has one share for all its runs, so a run spends
 * nothing while an earlier one may have spent the share within the window.
 */
public final class RetryBudget {
    private final Duration window;
    private final double ratio;
    private final Deque<Instant> requests = new ArrayDeque<>();
    private final Deque<Instant> retries = new ArrayDeque<>();

    /**
     * What a node may spend at a time.
     *
     * @param fixed retries per window in addition to the ratio, for this node, from which the deviation of its load is taken
     * @param maxFixed the most that may be left of them
     * @param open whether no other run of this node can have used the share within the window
     */
    public record Share(double fixed, double maxFixed, boolean open) {}

    /**
     * The state of a budget.
     *
     * @param requests the requests in the window
     * @param retries the retries in the window
     * @param limit the most retries that the window may hold
     * @param open whether this node may retry now
     */
    public record Usage(int requests, int retries, double limit, boolean open) {}

    /**
     * Creates a budget without recorded requests or retries.
     *
     * @param window the length of the sliding window
     * @param ratio retries per request, 0 to 1
     */
    public RetryBudget(Duration window, double ratio) {
        this.window = window;
        this.ratio = ratio;
    }

    /** Records the first attempt of a request. */
    public void onRequest(Instant now) {
        expire(now);
        requests.addLast(now);
    }

    /** Takes one retry from the budget; false if it is exhausted or this run must not spend it yet. */
    public boolean tryAcquire(Share share, Instant now) {
        expire(now);
        if (!share.open() || retries.size() + 1 > limit(share)) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    /**
     * The busiest windows of nodes do not coincide, so their sum exceeds the busiest window of all nodes. The requests of a node
     * deviate from their mean by about the square root.
     */
    private double limit(Share share) {
        double deviation = ratio * Math.sqrt(requests.size());
        return ratio * requests.size() + Math.min(share.maxFixed(), share.fixed() - deviation);
    }

    /** What decides at a time whether a retry is available. */
    public Usage usage(Share share, Instant now) {
        expire(now);
        return new Usage(requests.size(), retries.size(), limit(share), share.open());
    }

    private void expire(Instant now) {
        Instant oldest = now.minus(window);
        while (!requests.isEmpty() && requests.peekFirst().isBefore(oldest)) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.peekFirst().isBefore(oldest)) {
            retries.removeFirst();
        }
    }
}
