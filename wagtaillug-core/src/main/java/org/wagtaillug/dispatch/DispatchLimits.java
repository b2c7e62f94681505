package org.wagtaillug.dispatch;

/**
 * What one node lets itself do at most.
 *
 * @param requestsInFlight requests at once; default 400
 * @param retryShare retries per request, 0 to 1; default 0.2
 * @param hedgeShare hedges per request, 0 to 1; default 0.05
 */
public record DispatchLimits(int requestsInFlight, double retryShare, double hedgeShare) {
    /** The defaults above. */
    public static final DispatchLimits DEFAULTS = new DispatchLimits(400, 0.2, 0.05);
}
