package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.AnnouncedRateLimits;
import org.wagtaillug.peer.Roster;

/**
 * Keeps this node within its share of the rate limits that upstreams announce for all nodes together.
 *
 * <p>A token bucket for each limited upstream. The shares follow from the roster, so that no request waits for another
 * node. A limit may be lower than one request per second and node, so only as many nodes send as the burst of the
 * whole fleet allows.
 */
public final class FleetRateLimiter {
    /** The burst of all nodes together, in seconds of the limit. */
    private static final double BURST_SECONDS = 1.6;

    /** The burst of all nodes together beyond that, in requests. */
    private static final double BURST_REQUESTS = 4;

    /** Part of a limit that one node uses alone, so that two nodes at the same time still stay within the burst. */
    private static final double ONE_NODE_RATIO = 0.75;

    /** Lowest rate for all nodes together, in requests per second: without any request no node learns the end of a limit. */
    private static final double MIN_RATE = 0.1;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final AnnouncedRateLimits limits;
    private final LimitShare share;
    private final Map<VmId, Bucket> buckets = new HashMap<>();

    /** The rate in requests per second, and the most requests at once. */
    private record Quota(double rate, double burst) {
        private static final Quota NOTHING = new Quota(0, 0);
    }

    private record Bucket(double tokens, Instant at) {
        Bucket refilled(Quota quota, Instant now) {
            double added = quota.rate() * Duration.between(at, now).toNanos() / NANOS_PER_SECOND;
            return new Bucket(Math.min(quota.burst(), tokens + added), now);
        }
    }

    /** Creates a limiter that has sent nothing yet. */
    public FleetRateLimiter(AnnouncedRateLimits limits, LimitShare share) {
        this.limits = limits;
        this.share = share;
    }

    /** Whether a request may be sent to an upstream now. */
    public boolean allows(VmId upstream, Instant now) {
        return allowsBy(upstream, now, now);
    }

    /** Whether a request may be sent to an upstream at a time, if none is sent before. */
    public boolean allowsBy(VmId upstream, Instant time, Instant now) {
        OptionalDouble limit = limits.limitOf(upstream);
        if (limit.isEmpty()) {
            return true;
        }
        Quota quota = quota(upstream, limit.getAsDouble(), now);
        return bucket(upstream, quota, now).refilled(quota, time).tokens() >= 1;
    }

    /** The highest rate at which this node may send to an upstream, in requests per second; infinite without a limit. */
    public double rate(VmId upstream, Instant now) {
        OptionalDouble limit = limits.limitOf(upstream);
        return limit.isEmpty()
                ? Double.POSITIVE_INFINITY
                : quota(upstream, limit.getAsDouble(), now).rate();
    }

    /** Records a request to an upstream, limited or not, so that it counts if a limit becomes known just afterwards. */
    public void onSent(VmId upstream, Instant now) {
        boolean limited = limits.limitOf(upstream).isPresent();
        Bucket bucket = buckets.get(upstream);
        buckets.put(
                upstream,
                limited && bucket != null ? new Bucket(bucket.tokens() - 1, bucket.at()) : new Bucket(0, now));
    }

    private Bucket bucket(VmId upstream, Quota quota, Instant now) {
        Bucket refilled = buckets.getOrDefault(upstream, new Bucket(0, now)).refilled(quota, now);
        buckets.put(upstream, refilled);
        return refilled;
    }

    private Quota quota(VmId upstream, double limit, Instant now) {
        double rate = Math.max(MIN_RATE, limit);
        return switch (share) {
            case LimitShare.AmongNodes among -> sharedQuota(among.roster(), upstream, rate, now);
            case LimitShare.OneNode ignored -> new Quota(rate * ONE_NODE_RATIO, 1);
        };
    }

    private static Quota sharedQuota(Roster roster, VmId upstream, double rate, Instant now) {
        double burst = rate * BURST_SECONDS + BURST_REQUESTS;
        int senders = (int) Math.min(burst, Math.max(1, roster.size()));
        if (!roster.selectsSelf(upstream, senders, now)) {
            return Quota.NOTHING;
        }
        return new Quota(rate / senders, Math.max(1, Math.floor(burst / senders)));
    }
}
