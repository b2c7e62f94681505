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

/**
 * The state of the upstreams and of this node's allowances for them, as used by routing and dispatch. Implemented in the
 * {@code node} package.
 */
public interface Upstreams {
    /** The upstreams of a pool that accept new work: listed, not draining and not taken out of service by operators. */
    List<Vm> inPool(PoolId pool);

    /** Whether an upstream accepts new work by the rule of {@link #inPool}. */
    boolean inService(VmId upstream);

    /** The number of further attempts that this node may start at an upstream now. */
    int available(VmId upstream, Instant now);

    /** Acquires the allowance for one attempt; false if none is left. */
    boolean tryStart(VmId upstream, Instant now);

    /** The time before which the attempt that was just started must send its first byte, or else not be sent at all. */
    Instant sendDeadline(VmId upstream, Instant now);

    /** Records that an attempt made progress. */
    void onProgress(VmId upstream, Duration sinceStart, Instant now);

    /** Returns the allowance and records the outcome of the attempt. */
    void onFinished(VmId upstream, UpstreamOutcome outcome, Duration took, Instant now);

    /** Reports this node's demand: the attempts that would be in flight in a pool without limits. */
    void setDemand(PoolId pool, int attempts);

    /** Whether the upstream is not suspended after failures. */
    boolean usable(VmId upstream, Instant now);

    /** Whether the upstream is cold after a recent start. */
    boolean isCold(VmId upstream);

    /** The number of attempts that this node has in flight at the upstream. */
    int inFlight(VmId upstream);

    /** The latest load report. */
    Optional<LoadReport> report(VmId upstream);

    /** The recent mean duration of an attempt at the upstream; empty before the first. */
    Optional<Duration> expected(VmId upstream);

    /** The quantile of the recent attempt durations in the pool; empty without enough samples. */
    Optional<Duration> quantile(PoolId pool, double share);

    /** The quantile of the recent times to first progress in the pool; empty without enough samples. */
    Optional<Duration> firstProgressQuantile(PoolId pool, double share);

    /** Whether an attempt whose last progress was at {@code lastProgress} counts as stalled and should be abandoned. */
    boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now);
}
