package org.wagtaillug.dispatch;

/**
 * Limits of one node's dispatcher.
 *
 * @param requestsInFlight the maximum number of requests in flight; default 400
 * @param retryShare the retry budget: retries per request, 0 to 1; default 0.2
 * @param hedgeShare the hedging budget: hedged attempts per request, 0 to 1; default 0.05
 */
public record DispatchLimits(int requestsInFlight, double retryShare, double hedgeShare) {
    /** The default limits. */
    public static final DispatchLimits DEFAULT = new DispatchLimits(400, 0.2, 0.05);
}
