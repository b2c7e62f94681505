package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

/** What routing knows of the upstreams and of this node's right to use them. */
public interface Upstreams {
    /** The upstreams of a pool that may take new work: listed, not leaving, not taken out by operators. */
    List<Vm> inPool(PoolId pool);

    /** Whether a VM may still take new work, by the same rule. */
    boolean inService(VmId upstream);

    /** How many more attempts this node may start at an upstream now. */
    int available(VmId upstream, Instant now);

    /** Takes the right to start one attempt; false if there is none. */
    boolean start(VmId upstream, Instant now);

    /** Until when the attempt that was just started may send its first byte. */
    Instant startBefore(VmId upstream, Instant now);

    /** Notes that an attempt made progress. */
    void progressed(VmId upstream, Duration sinceStart, Instant now);

    /** Gives the right back and notes how it went. */
    void finished(VmId upstream, UpstreamOutcome finish, Duration took, Instant now);

    /** Says how many attempts would be in flight in a pool if nothing held them back. */
    void want(PoolId pool, int attempts);

    /** Whether the upstream is worth a try: it did not just fail. */
    boolean usable(VmId upstream, Instant now);

    /** Whether the upstream has just started. */
    boolean cold(VmId upstream);

    /** How many attempts this node has in flight there. */
    int inFlight(VmId upstream);

    /** The newest load report. */
    Optional<LoadReport> report(VmId upstream);

    /** The mean time of an attempt there, of late; empty before the first. */
    Optional<Duration> expected(VmId upstream);

    /** The time that the given share of the pool's attempts stayed under, of late; empty before enough were seen. */
    Optional<Duration> quantile(PoolId pool, double share);

    /** The time in which the given share of the pool's attempts made their first progress, of late; empty before enough. */
    Optional<Duration> firstProgressQuantile(PoolId pool, double share);

    /** Whether an attempt that was last heard of at {@code lastProgress} should be given up as silent. */
    boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now);
}
