package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The requests that wait for an upstream of one pool. Admission control keeps it short, so the next request is found by
 * a linear scan.
 */
final class WaitingQueue {
    private final List<RequestFlow> waiting = new ArrayList<>();

    void add(RequestFlow flow) {
        waiting.add(flow);
        flow.markWaiting(true);
    }

    void remove(RequestFlow flow) {
        waiting.remove(flow);
        flow.markWaiting(false);
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    List<RequestFlow> all() {
        return List.copyOf(waiting);
    }

    /**
     * The request to dispatch next: the one with the least slack relative to its worth. A request with twice the worth
     * precedes another as long as it has less than twice the slack.
     *
     * @param remainingNanos the expected time of a request's remaining stages, in nanoseconds
     */
    RequestFlow mostUrgent(Instant now, ToLongFunction<RequestFlow> remainingNanos) {
        RequestFlow best = null;
        double least = Double.POSITIVE_INFINITY;
        for (RequestFlow flow : waiting) {
            double slack = Duration.between(now, flow.deadline()).toNanos() - remainingNanos.applyAsLong(flow);
            double score = slack > 0 ? slack / flow.worth() : slack * flow.worth();
            if (score < least) {
                least = score;
                best = flow;
            }
        }
        return best;
    }

    /** The request of the lowest worth among those without an attempt; null if there is none. */
    RequestFlow lowestWorth() {
        RequestFlow least = null;
        Iterator<RequestFlow> all = waiting.iterator();
        while (all.hasNext()) {
            RequestFlow flow = all.next();
            if (flow.attempts() > 0) {
                continue;
            }
            if (least == null || flow.worth() < least.worth()) {
                least = flow;
            }
        }
        return least;
    }
}
