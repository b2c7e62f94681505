package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.route.BatchContract;

/** The scheduler's state for one stage server. */
final class StageServer {
    private static final double EWMA_ALPHA = 0.4;

    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(30);

    /** Capacity becomes free with a release or at the end of a result's lifetime. */
    private static final Duration NO_CAPACITY_BACKOFF = Duration.ofMillis(100);

    /** Pause after a failed call; doubled for each further consecutive failure. */
    private static final Duration FAILURE_BACKOFF = Duration.ofMillis(500);

    private static final int MAX_DOUBLINGS = 3;

    private final HeldResults results = new HeldResults();
    private final List<String> pendingReleases = new ArrayList<>();
    private Listing listing;
    private int activeCalls;
    private int consecutiveFailures;
    private double slowness = 1;
    private Instant pausedUntil = Instant.EPOCH;
    private long capacityLimit = Long.MAX_VALUE;
    private Instant capacityLimitUntil = Instant.EPOCH;

    StageServer(Listing listing) {
        this.listing = listing;
    }

    Listing listing() {
        return listing;
    }

    /** Updates the listing; returns a fresh state if the server has restarted and so holds no results. */
    StageServer withListing(Listing newest) {
        if (newest.incarnation() != listing.incarnation()) {
            return new StageServer(newest);
        }
        listing = newest;
        return this;
    }

    HeldResults results() {
        return results;
    }

    /** The handles that are to be released at the server. */
    List<String> pendingReleases() {
        return pendingReleases;
    }

    /** The recent ratio of actual to expected call durations. */
    double slowness() {
        return slowness;
    }

    boolean hasFreeSlot(int slots, Instant now) {
        return activeCalls < slots && !now.isBefore(pausedUntil);
    }

    boolean paused(Instant now) {
        return now.isBefore(pausedUntil);
    }

    void onCallStarted() {
        activeCalls++;
    }

    void onCallAnswered(Duration took, Duration expected) {
        activeCalls--;
        consecutiveFailures = 0;
        double ratio = (double) took.toNanos() / Math.max(1, expected.toNanos());
        slowness = slowness * (1 - EWMA_ALPHA) + ratio * EWMA_ALPHA;
    }

    void onCallRefused(Instant now) {
        activeCalls--;
        pausedUntil = now.plus(REFUSAL_BACKOFF);
    }

    void onCallFailed(Instant now) {
        activeCalls--;
        pausedUntil = now.plus(FAILURE_BACKOFF.multipliedBy(1L << Math.min(MAX_DOUBLINGS, consecutiveFailures)));
        consecutiveFailures++;
    }

    /**
     * Records that the server had no capacity for a result of so many bytes although the account has. The server may hold results
     * ordered by another node or by this one before a restart, or results larger than their step declares. Smaller results may
     * still fit; larger ones are held back for {@link #NO_CAPACITY_BACKOFF}.
     */
    void onNoCapacity(long bytes, Instant now) {
        boolean limited = now.isBefore(capacityLimitUntil);
        capacityLimit = limited ? Math.min(capacityLimit, bytes - 1) : bytes - 1;
        capacityLimitUntil = now.plus(NO_CAPACITY_BACKOFF);
    }

    /** The total size of the results, in bytes, that a call starting now may produce. */
    long freeCapacity(BatchContract contract, Instant now) {
        results.expire(now);
        long freeCapacity = contract.resultCapacityBytes() - results.usedBytes();
        return now.isBefore(capacityLimitUntil) ? Math.min(freeCapacity, capacityLimit) : freeCapacity;
    }
}
