package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.id.RequestId;

/**
 * Counts from outside what reaches the upstreams of a pool, and compares the arrivals beyond the first of each request with
 * the bound for all nodes together. Shares no code with the decisions of the nodes.
 */
final class RetryArrivals {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double RETRY_RATIO = 0.2;
    private static final double FIXED_RETRIES = 50;

    private final List<Instant> requests = new ArrayList<>();
    private final List<Instant> retries = new ArrayList<>();
    private final Map<RequestId, Integer> arrived = new HashMap<>();

    /** Records a request that a caller has sent, whether it reaches a node or not. */
    void onRequest(Instant now) {
        requests.add(now);
    }

    /** Records a request that has reached an upstream, which may reject it. */
    void onArrival(RequestId request, Instant now) {
        if (arrived.merge(request, 1, Integer::sum) > 1) {
            retries.add(now);
        }
    }

    /** How often a request has arrived. */
    int of(RequestId request) {
        return arrived.getOrDefault(request, 0);
    }

    /** The number of arrivals beyond the first of each request. */
    int retries() {
        return retries.size();
    }

    /** The windows in which more retries arrived than allowed. */
    List<String> excesses() {
        List<String> excesses = new ArrayList<>();
        for (Instant from : retries) {
            long arrivals = count(retries, from);
            double allowed = RETRY_RATIO * requestsAround(from) + FIXED_RETRIES;
            if (arrivals > allowed) {
                excesses.add(arrivals + " retries within " + WINDOW + " from " + from + ", allowed " + allowed);
            }
        }
        return excesses;
    }

    /** The requests in the window, the one before, or the one half a window before, whichever has most. */
    private long requestsAround(Instant from) {
        long own = count(requests, from);
        long before = count(requests, from.minus(WINDOW));
        long halfBefore = count(requests, from.minus(WINDOW.dividedBy(2)));
        return Math.max(own, Math.max(before, halfBefore));
    }

    private static long count(List<Instant> times, Instant from) {
        Instant until = from.plus(WINDOW);
        return times.stream()
                .filter(time -> !time.isBefore(from) && time.isBefore(until))
                .count();
    }
}
