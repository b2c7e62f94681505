package org.wagtaillug.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.routing.Upstreams;

/** A pool of a given number of upstreams with plausible load figures, all of which accept attempts. */
final class Fleet implements Upstreams {
    private static final int DOMAINS = 5;
    private final List<Vm> vms = new ArrayList<>();
    private final LoadReport report = new LoadReport(Instant.EPOCH, Instant.EPOCH, 3, 0, 8, Optional.empty(), 0, 0);

    Fleet(String pool, int size) {
        for (int number = 0; number < size; number++) {
            vms.add(vm(pool, number));
        }
    }

    static Vm vm(String pool, int number) {
        return new Vm(
                new VmId(pool + "-" + number),
                Optional.of(new PoolId(pool)),
                new DomainId("domain-" + number % DOMAINS),
                new RegionId("region"),
                "127.0.0.1",
                number,
                false);
    }

    List<Vm> vms() {
        return vms;
    }

    @Override
    public List<Vm> inPool(PoolId pool) {
        return vms;
    }

    @Override
    public boolean inService(VmId upstream) {
        return true;
    }

    @Override
    public int available(VmId upstream, Instant now) {
        return 1;
    }

    @Override
    public boolean tryStart(VmId upstream, Instant now) {
        return true;
    }

    @Override
    public Instant sendDeadline(VmId upstream, Instant now) {
        return now.plusSeconds(2);
    }

    @Override
    public void onProgress(VmId upstream, Duration sinceStart, Instant now) {
        // Not part of the measurement.
    }

    @Override
    public void onFinished(VmId upstream, UpstreamOutcome outcome, Duration took, Instant now) {
        // Not part of the measurement.
    }

    @Override
    public void setDemand(PoolId pool, int attempts) {
        // Not part of the measurement.
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
        return 1;
    }

    @Override
    public Optional<LoadReport> report(VmId upstream) {
        return Optional.of(report);
    }

    @Override
    public Optional<Duration> expected(VmId upstream) {
        return Optional.of(Duration.ofMillis(40 + upstream.value().length()));
    }

    @Override
    public Optional<Duration> quantile(PoolId pool, double share) {
        return Optional.of(Duration.ofMillis(40));
    }

    @Override
    public Optional<Duration> firstProgressQuantile(PoolId pool, double share) {
        return Optional.of(Duration.ofMillis(20));
    }

    @Override
    public boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now) {
        return false;
    }
}
