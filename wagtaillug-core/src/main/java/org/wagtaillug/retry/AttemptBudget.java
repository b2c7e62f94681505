package org.wagtaillug.retry;

/**
 * A token bucket that limits extra attempts to a fraction of the requests.
 *
 * <p>Prevents retry storms: when a whole pool fails, every request would be attempted as often as its template allows, and
 * the pool would face several times its normal load on recovery. Each request adds a fraction of a token and each extra
 * attempt takes a whole one, so the fraction holds over any series of requests that is long compared to
 * {@link #MAX_TOKENS}.
 */
public final class AttemptBudget {
    /** The bucket's size, in extra attempts; the bucket of a new node is full. */
    public static final double MAX_TOKENS = 5;

    private final double share;
    private double tokens = MAX_TOKENS;

    /**
     * Creates a budget with a full bucket.
     *
     * @param share extra attempts per request, 0 to 1
     */
    public AttemptBudget(double share) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share is " + share + "; expected 0 to 1");
        }
        this.share = share;
    }

    /** Adds the tokens of one request. */
    public void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + share);
    }

    /** Takes a token for one extra attempt; false if there is none. */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
