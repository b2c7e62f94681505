package org.wagtaillug.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;

/**
 * This node's share of the retries that all nodes together may send to a pool in any time window.
 *
 * <p>Prevents retry storms without coordination between nodes: the variable part is proportional to this node's own requests,
 * and the fixed part is divided by the number of nodes that share it.
 */
public final class RetryBudget {
    private final Duration window;
    private final double ratio;
    private final double fixed;
    private final IntSupplier sharingNodes;
    private final Deque<Instant> requests = new ArrayDeque<>();
    private final Deque<Instant> retries = new ArrayDeque<>();

    /**
     * Creates a budget without recorded requests or retries.
     *
     * @param window the length of the sliding window
     * @param ratio retries per request, 0 to 1
     * @param fixed additional retries, for all nodes together
     * @param sharingNodes the current number of nodes that share the fixed part
     */
    public RetryBudget(Duration window, double ratio, double fixed, IntSupplier sharingNodes) {
        this.window = window;
        this.ratio = ratio;
        this.fixed = fixed;
        this.sharingNodes = sharingNodes;
    }

    /** Records the first attempt of a request. */
    public void onRequest(Instant now) {
        expire(now);
        requests.addLast(now);
    }

    /** Takes one retry from the budget; false if it is exhausted. */
    public boolean tryAcquire(Instant now) {
        expire(now);
        if (retries.size() + 1 > ratio * requests.size() + fixed / sharingNodes.getAsInt()) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    /** What decides at a time whether a retry is available. */
    public Usage usage(Instant now) {
        expire(now);
        return new Usage(requests.size(), retries.size(), sharingNodes.getAsInt());
    }

    /**
     * The state of a budget.
     *
     * @param requests the requests in the window
     * @param retries the retries in the window
     * @param sharingNodes the nodes that share the fixed part
     */
    public record Usage(int requests, int retries, int sharingNodes) {}

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
