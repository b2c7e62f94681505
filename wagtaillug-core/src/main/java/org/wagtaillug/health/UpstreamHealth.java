package org.wagtaillug.health;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

/**
 * The health of each upstream as observed through this node's own attempts.
 *
 * <pre>{@code
 * health.onStarted(upstream, now);
 * health.onProgress(upstream, now);
 * health.onEnded(upstream, duration, true, now);
 * health.expected(vm.id()); // how long an attempt there is likely to take
 * health.tail(pool, 0.95); // when an attempt counts as a straggler
 * }</pre>
 */
public final class UpstreamHealth {
    /** Lower bound on the time without progress after which an attempt counts as stalled. */
    public static final Duration MIN_STALL_TIMEOUT = Duration.ofMillis(500);

    /** An attempt counts as stalled after this many times the expected tail latency without progress. */
    public static final int STALL_FACTOR = 3;

    private static final double EWMA_ALPHA = 0.2;
    private static final int FAILURES_TO_SUSPEND = 2;
    private static final Duration INITIAL_SUSPENSION = Duration.ofMillis(250);
    private static final Duration MAX_SUSPENSION = Duration.ofSeconds(8);
    private static final int MAX_DOUBLINGS = 5;

    private final Map<VmId, UpstreamStats> statsByUpstream = new HashMap<>();
    private final Map<PoolId, LatencyWindow> windowsByPool = new HashMap<>();

    /** The statistics of one upstream. */
    private static final class UpstreamStats {
        private Optional<Duration> averageDuration = Optional.empty();
        private int consecutiveFailures;
        private int inFlight;
        private Instant suspendedUntil = Instant.MIN;
        private Instant lastProgress = Instant.MIN;
    }

    /** Records that an attempt was sent. */
    public void onStarted(VmId upstream, Instant now) {
        stats(upstream).inFlight++;
    }

    /** Records that an upstream has sent part of an answer. */
    public void onProgress(VmId upstream, Instant now) {
        UpstreamStats stats = stats(upstream);
        stats.lastProgress = now;
        stats.consecutiveFailures = 0;
    }

    /**
     * Records the end of an attempt.
     *
     * @param duration the time since its start
     * @param ok whether the answer was complete; false for a connection that failed or stalled
     */
    public void onEnded(Vm upstream, Duration duration, boolean ok, Instant now) {
        onEnded(upstream.id(), upstream.pool(), duration, ok, now);
    }

    /**
     * Records the end of an attempt.
     *
     * @param pool the pool whose quantiles include the duration; empty for none
     * @param duration the time since its start
     * @param ok whether the answer was complete; false for a connection that failed or stalled
     */
    public void onEnded(VmId upstream, Optional<PoolId> pool, Duration duration, boolean ok, Instant now) {
        UpstreamStats stats = stats(upstream);
        stats.inFlight = Math.max(0, stats.inFlight - 1);
        if (!ok) {
            recordFailure(stats, now);
            return;
        }
        stats.consecutiveFailures = 0;
        stats.lastProgress = now;
        stats.suspendedUntil = Instant.MIN;
        stats.averageDuration = Optional.of(stats.averageDuration
                .map(previous -> movingAverage(previous, duration))
                .orElse(duration));
        pool.ifPresent(id -> windowsByPool
                .computeIfAbsent(id, ignored -> new LatencyWindow())
                .add(duration));
    }

    /** Records an attempt that this node cancelled, which says nothing about the upstream's health. */
    public void onCancelled(VmId upstream) {
        UpstreamStats stats = stats(upstream);
        stats.inFlight = Math.max(0, stats.inFlight - 1);
    }

    private static Duration movingAverage(Duration previous, Duration newest) {
        double nanos = previous.toNanos() * (1 - EWMA_ALPHA) + newest.toNanos() * EWMA_ALPHA;
        return Duration.ofNanos(Math.round(nanos));
    }

    /** Suspends after two failures in a row, as a single one may be a stalled connection to a healthy upstream. */
    private static void recordFailure(UpstreamStats stats, Instant now) {
        stats.consecutiveFailures++;
        if (stats.consecutiveFailures < FAILURES_TO_SUSPEND) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, stats.consecutiveFailures - FAILURES_TO_SUSPEND);
        Duration suspension = INITIAL_SUSPENSION.multipliedBy(1L << doublings);
        if (suspension.compareTo(MAX_SUSPENSION) > 0) {
            suspension = MAX_SUSPENSION;
        }
        stats.suspendedUntil = now.plus(suspension);
    }

    /** The moving average of the durations of successful attempts at an upstream; empty before the first. */
    public Optional<Duration> expected(VmId upstream) {
        return Optional.ofNullable(statsByUpstream.get(upstream)).flatMap(stats -> stats.averageDuration);
    }

    /**
     * A quantile of the last 256 durations of a pool.
     *
     * @param quantile above 0, at most 1
     * @return empty if no attempt in the pool has succeeded
     */
    public Optional<Duration> tail(PoolId pool, double quantile) {
        return Optional.ofNullable(windowsByPool.get(pool)).flatMap(window -> window.quantile(quantile));
    }

    /** Whether new attempts may be sent to an upstream: it is not suspended after consecutive failures. */
    public boolean usable(VmId upstream, Instant now) {
        UpstreamStats stats = statsByUpstream.get(upstream);
        return stats == null || !now.isBefore(stats.suspendedUntil);
    }

    /** The number of failures since the last progress or success. */
    public int consecutiveFailures(VmId upstream) {
        UpstreamStats stats = statsByUpstream.get(upstream);
        return stats == null ? 0 : stats.consecutiveFailures;
    }

    /** The number of attempts that this node has in flight at an upstream. */
    public int inFlight(VmId upstream) {
        UpstreamStats stats = statsByUpstream.get(upstream);
        return stats == null ? 0 : stats.inFlight;
    }

    /** When an upstream last sent part of an answer on any connection; empty if it never has. */
    public Optional<Instant> lastProgress(VmId upstream) {
        UpstreamStats stats = statsByUpstream.get(upstream);
        if (stats == null || stats.lastProgress.equals(Instant.MIN)) {
            return Optional.empty();
        }
        return Optional.of(stats.lastProgress);
    }

    /** Resets the failures and durations of an upstream that has restarted under the same id; keeps its in-flight count. */
    public void onRestarted(VmId upstream) {
        UpstreamStats stats = stats(upstream);
        stats.consecutiveFailures = 0;
        stats.suspendedUntil = Instant.MIN;
        stats.averageDuration = Optional.empty();
    }

    /** Resets the failures of upstreams, which had another cause than the upstreams. */
    public void clearFailures(Collection<VmId> upstreams) {
        for (VmId upstream : upstreams) {
            UpstreamStats stats = stats(upstream);
            stats.consecutiveFailures = 0;
            stats.suspendedUntil = Instant.MIN;
        }
    }

    /** Removes the statistics of all upstreams that are not listed any more. */
    public void retain(Set<VmId> listed) {
        statsByUpstream.keySet().retainAll(listed);
    }

    private UpstreamStats stats(VmId upstream) {
        return statsByUpstream.computeIfAbsent(upstream, id -> new UpstreamStats());
    }

    /**
     * Whether an attempt has stalled and should be abandoned.
     *
     * <p>Detects half-open connections: if a device on the path has dropped the connection's state, the connection stays open
     * without carrying any data or raising a socket error, and the request would run into its deadline. Only a lack of progress
     * reveals this: a live upstream sends the next part of its answer within a few times the tail latency of the pool.
     *
     * @param startedAt when the attempt was sent
     * @param lastProgress when the last part of its answer arrived; empty if none has
     * @param expectedTail the tail latency to the next part of an answer; if empty, the attempt never counts as stalled
     */
    public static boolean stalled(
            Instant startedAt, Optional<Instant> lastProgress, Optional<Duration> expectedTail, Instant now) {
        if (expectedTail.isEmpty()) {
            return false;
        }
        Duration stallTimeout = expectedTail.get().multipliedBy(STALL_FACTOR);
        if (stallTimeout.compareTo(MIN_STALL_TIMEOUT) < 0) {
            stallTimeout = MIN_STALL_TIMEOUT;
        }
        return !now.isBefore(lastProgress.orElse(startedAt).plus(stallTimeout));
    }
}
