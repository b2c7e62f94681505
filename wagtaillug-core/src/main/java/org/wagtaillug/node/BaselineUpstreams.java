package org.wagtaillug.node;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.routing.Upstreams;

/**
 * Upstreams for the baseline policy: every listed VM may be used, and nothing but the number of attempts in flight is
 * tracked.
 */
final class BaselineUpstreams implements Upstreams {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

    private final VmDirectory directory;
    private final Map<VmId, Integer> inFlight = new HashMap<>();

    BaselineUpstreams(VmDirectory directory) {
        this.directory = directory;
    }

    @Override
    public List<Vm> inPool(PoolId pool) {
        return directory.inPool(pool);
    }

    @Override
    public boolean inService(VmId upstream) {
        return directory.find(upstream).map(directory::mayTakeWork).orElse(false);
    }

    @Override
    public int available(VmId upstream, Instant now) {
        return Integer.MAX_VALUE;
    }

    @Override
    public boolean tryStart(VmId upstream, Instant now) {
        inFlight.merge(upstream, 1, Integer::sum);
        return true;
    }

    @Override
    public Instant sendDeadline(VmId upstream, Instant now) {
        return now.plus(START_TIMEOUT);
    }

    @Override
    public void onProgress(VmId upstream, Duration sinceStart, Instant now) {
        // The baseline policy does not use progress.
    }

    @Override
    public void onFinished(VmId upstream, UpstreamOutcome outcome, Duration took, Instant now) {
        inFlight.merge(upstream, -1, Integer::sum);
    }

    @Override
    public void setDemand(PoolId pool, int attempts) {
        // The baseline policy needs no grants.
    }

    @Override
    public boolean usable(VmId upstream, Instant now) {
        return true;
    }

    @Override
    public boolean isCold(VmId upstream) {
        return false;
    }

    @Override
    public int inFlight(VmId upstream) {
        return inFlight.getOrDefault(upstream, 0);
    }

    @Override
    public Optional<LoadReport> report(VmId upstream) {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> expected(VmId upstream) {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> quantile(PoolId pool, double share) {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> firstProgressQuantile(PoolId pool, double share) {
        return Optional.empty();
    }

    @Override
    public boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now) {
        return false;
    }
}
