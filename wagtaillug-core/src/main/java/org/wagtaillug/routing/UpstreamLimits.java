package org.wagtaillug.routing;

import java.time.Instant;
import org.wagtaillug.admission.BrittlePools;
import org.wagtaillug.admission.FleetRateLimiter;
import org.wagtaillug.admission.LimitShare;
import org.wagtaillug.admission.RequestedPauses;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.clock.WallClock;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.AnnouncedRateLimits;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.route.PoolProfile;

/**
 * Enforces this node's share of the limits that apply to one upstream across all nodes.
 *
 * <p>Prevents an upstream from being overloaded by many nodes that each send it little: its connections are divided by the
 * number of nodes, and while it is cold or announces a rate limit only a few nodes may send to it.
 */
public final class UpstreamLimits {
    /** Fraction of the bound that is used, because joining nodes count before all other nodes know of them. */
    private static final double COLD_HEADROOM = 0.8;

    private final Roster roster;
    private final WarmupRateLimiter warmupLimiter;
    private final ColdBound coldBound;
    private final FleetRateLimiter rateLimiter;
    private final RequestedPauses pauses;
    private final BrittlePools brittlePools;

    /**
     * The limit on requests per second from all nodes to a cold upstream.
     *
     * @param ratio multiple of the pool's configured cold capacity
     * @param fixed requests per second in addition
     */
    public record ColdBound(double ratio, double fixed) {}

    /** Creates limits that are divided among the members of a roster. */
    public UpstreamLimits(
            Roster roster,
            WarmupRateLimiter warmupLimiter,
            ColdBound coldBound,
            FleetRateLimiter rateLimiter,
            RequestedPauses pauses,
            BrittlePools brittlePools) {
        this.roster = roster;
        this.warmupLimiter = warmupLimiter;
        this.coldBound = coldBound;
        this.rateLimiter = rateLimiter;
        this.pauses = pauses;
        this.brittlePools = brittlePools;
    }

    /** Creates the same for upstreams that announce nothing. */
    public UpstreamLimits(Roster roster, WarmupRateLimiter warmupLimiter, ColdBound coldBound) {
        this(
                roster,
                warmupLimiter,
                coldBound,
                new FleetRateLimiter(new AnnouncedRateLimits(), new LimitShare.AmongNodes(roster)),
                new RequestedPauses(),
                new BrittlePools(roster, new WallClock()));
    }

    /** Records a request that is sent to an upstream. */
    public void onSent(VmId upstream, Instant now) {
        warmupLimiter.onSent(upstream, now);
        rateLimiter.onSent(upstream, now);
    }

    /** Whether what an upstream announces allows a request at a time, if none is sent before. */
    boolean announcementsAllow(Upstream upstream, Instant time, Instant now) {
        return pauses.remaining(upstream.id(), time).isZero() && rateLimiter.allowsBy(upstream.id(), time, now);
    }

    /** Whether one more request may go to an upstream where this node has so many in flight. */
    boolean allow(PoolProfile pool, Upstream upstream, int inFlight, Instant now) {
        if (inFlight >= Math.max(1, pool.connections() / roster.sharingNodes())) {
            return false;
        }
        if (!announcementsAllow(upstream, now, now) || !brittlePools.allows(upstream, inFlight, now)) {
            return false;
        }
        if (pool.coldPerSecond() <= 0 || !upstream.cold(now)) {
            return true;
        }
        return warmupLimiter.allows(upstream.id(), now) && roster.selectsSelf(upstream.id(), coldSenders(pool), now);
    }

    /** Each node sends at most one request in any second, so the limit on requests is a limit on sending nodes. */
    private int coldSenders(PoolProfile pool) {
        double bound = pool.coldPerSecond() * coldBound.ratio() + coldBound.fixed();
        return (int) Math.max(1, bound * COLD_HEADROOM);
    }
}
