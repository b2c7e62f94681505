package org.wagtaillug.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.grant.GrantHolder;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.health.FirstProgress;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.routing.Upstreams;

/** Upstreams for the current policy: used only within the limits of grants. */
final class GrantedUpstreams implements Upstreams {
    private static final double STALL_QUANTILE = 0.99;
    private static final Duration DEFAULT_FIRST_PROGRESS = Duration.ofSeconds(2);

    private final VmDirectory directory;
    private final GrantHolder holder;
    private final UpstreamHealth health;
    private final FirstProgress firstProgress = new FirstProgress();

    GrantedUpstreams(VmDirectory directory, GrantHolder holder, UpstreamHealth health) {
        this.directory = directory;
        this.holder = holder;
        this.health = health;
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
        return holder.available(upstream, now);
    }

    @Override
    public boolean tryStart(VmId upstream, Instant now) {
        if (!holder.tryStart(upstream, now)) {
            return false;
        }
        health.onStarted(upstream, now);
        return true;
    }

    @Override
    public Instant sendDeadline(VmId upstream, Instant now) {
        return holder.sendDeadline(upstream, now);
    }

    @Override
    public void onProgress(VmId upstream, Duration sinceStart, Instant now) {
        health.onProgress(upstream, now);
        directory.find(upstream).flatMap(Vm::pool).ifPresent(pool -> firstProgress.add(pool, sinceStart));
    }

    @Override
    public void onFinished(VmId upstream, UpstreamOutcome outcome, Duration took, Instant now) {
        holder.onFinished(upstream, outcome, now);
        Optional<Vm> vm = directory.find(upstream);
        if (vm.isEmpty()) {
            return;
        }
        switch (outcome) {
            case SUCCEEDED -> health.onEnded(vm.get(), took, true, now);
            case FAILED, OVERLOADED -> health.onEnded(vm.get(), took, false, now);
            case CANCELLED, ABANDONED -> health.onCancelled(upstream);
        }
    }

    @Override
    public void setDemand(PoolId pool, int attempts) {
        holder.setDemand(pool, attempts);
    }

    @Override
    public boolean usable(VmId upstream, Instant now) {
        return health.usable(upstream, now);
    }

    @Override
    public boolean isCold(VmId upstream) {
        return holder.isCold(upstream);
    }

    @Override
    public int inFlight(VmId upstream) {
        return health.inFlight(upstream);
    }

    @Override
    public Optional<LoadReport> report(VmId upstream) {
        return holder.report(upstream);
    }

    @Override
    public Optional<Duration> expected(VmId upstream) {
        return health.expected(upstream);
    }

    @Override
    public Optional<Duration> quantile(PoolId pool, double share) {
        return health.tail(pool, share);
    }

    @Override
    public Optional<Duration> firstProgressQuantile(PoolId pool, double share) {
        return firstProgress.quantile(pool, share);
    }

    @Override
    public boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now) {
        Duration tail = directory
                .find(upstream)
                .flatMap(Vm::pool)
                .flatMap(pool -> firstProgress.quantile(pool, STALL_QUANTILE))
                .orElse(DEFAULT_FIRST_PROGRESS);
        return UpstreamHealth.stalled(startedAt, Optional.of(lastProgress), Optional.of(tail), now);
    }
}
