package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.routing.Upstreams;

/** Upstreams with a fixed allowance each, for tests. */
final class FakeUpstreams implements Upstreams {
    final Map<PoolId, List<Vm>> pools = new HashMap<>();
    final Map<VmId, Integer> inFlight = new HashMap<>();
    final List<String> finishes = new ArrayList<>();
    final Set<VmId> outOfService = new HashSet<>();
    int allowance = 1;
    Optional<Duration> typicalDuration = Optional.empty();
    boolean allStalled;

    FakeUpstreams pool(String pool, int servers) {
        List<Vm> vms = new ArrayList<>();
        for (int number = 1; number <= servers; number++) {
            vms.add(new Vm(
                    new VmId(pool + "-" + number),
                    Optional.of(new PoolId(pool)),
                    new DomainId("a"),
                    new RegionId("r"),
                    "127.0.0.1",
                    number,
                    false));
        }
        pools.put(new PoolId(pool), vms);
        return this;
    }

    @Override
    public List<Vm> inPool(PoolId pool) {
        return pools.getOrDefault(pool, List.of()).stream()
                .filter(vm -> !outOfService.contains(vm.id()))
                .toList();
    }

    @Override
    public boolean inService(VmId upstream) {
        return !outOfService.contains(upstream);
    }

    @Override
    public int available(VmId upstream, Instant now) {
        return allowance - inFlight(upstream);
    }

    @Override
    public boolean tryStart(VmId upstream, Instant now) {
        if (available(upstream, now) < 1) {
            return false;
        }
        inFlight.merge(upstream, 1, Integer::sum);
        return true;
    }

    @Override
    public Instant sendDeadline(VmId upstream, Instant now) {
        return now.plusSeconds(2);
    }

    @Override
    public void onProgress(VmId upstream, Duration sinceStart, Instant now) {}

    @Override
    public void onFinished(VmId upstream, UpstreamOutcome outcome, Duration took, Instant now) {
        inFlight.merge(upstream, -1, Integer::sum);
        finishes.add(upstream + " " + outcome);
    }

    @Override
    public void setDemand(PoolId pool, int attempts) {}

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
        return typicalDuration;
    }

    @Override
    public Optional<Duration> firstProgressQuantile(PoolId pool, double share) {
        return typicalDuration;
    }

    @Override
    public boolean stalled(VmId upstream, Instant startedAt, Instant lastProgress, Instant now) {
        return allStalled;
    }
}
