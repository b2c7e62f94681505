package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToLongFunction;

/** The requests that wait for an upstream of one pool. Short by admission, so the next one is found by looking at all. */
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
     * The request that should go next: the one with the least slack for its worth. A request that is worth twice as
     * much may have twice the slack and still goes first.
     *
     * @param workLeft nanoseconds that a request's stages still take
     */
    RequestFlow mostUrgent(Instant now, ToLongFunction<RequestFlow> workLeft) {
        RequestFlow best = null;
        double least = Double.POSITIVE_INFINITY;
        for (RequestFlow flow : waiting) {
            double slack = Duration.between(now, flow.deadline()).toNanos() - workLeft.applyAsLong(flow);
            double score = slack > 0 ? slack / flow.worth() : slack * flow.worth();
            if (score < least) {
                least = score;
                best = flow;
            }
        }
        return best;
    }

    /** The request that has not started anything and is worth least; empty queue gives null. */
    RequestFlow leastWorth() {
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
