package org.wagtaillug.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.wagtaillug.assignment.Assignment;
import org.wagtaillug.assignment.AttemptKey;
import org.wagtaillug.assignment.EngineAssigner;
import org.wagtaillug.assignment.EngineDemand;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.route.EngineCapacity;
import org.wagtaillug.routing.PrefixSegment;

/** Assigns the engine of a request while each engine has requests in flight, a recent report and a cache. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class AssignmentBenchmark {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final VmId NODE = new VmId("node-1");
    private static final int REQUESTS_PER_ENGINE = 8;
    private static final int SESSIONS = 1000;

    /** The number of engines in the pool. */
    @Param({"42", "78", "112"})
    public int upstreams;

    private final EngineAssigner assigner = new EngineAssigner(new EngineCapacity(32, 400_000));
    private final List<Upstream> engines = new ArrayList<>();
    private int number;

    /** Sends requests to the pool. */
    @Setup
    public void pool() {
        for (int engine = 0; engine < upstreams; engine++) {
            Listing listing = new Listing(
                    new VmId("engine-" + engine),
                    1,
                    new PoolId("model"),
                    "10.0.0.1",
                    80,
                    new DomainId("domain-" + engine % 3),
                    false,
                    Duration.ZERO,
                    "");
            engines.add(new Upstream(listing, Instant.EPOCH));
        }
        for (int request = 0; request < upstreams * REQUESTS_PER_ENGINE; request++) {
            assign();
        }
        for (int request = 1; request <= upstreams * REQUESTS_PER_ENGINE; request++) {
            VmId engine = engines.get(request % upstreams).id();
            assigner.onReport(
                    NODE,
                    new AttemptReport(
                            new RequestId("request-" + request),
                            1,
                            engine,
                            AttemptReport.State.ANSWERING,
                            List.of(),
                            0,
                            0,
                            Duration.ofSeconds(6),
                            Optional.of(new ServerLoad(8, 0, 32, request % 7 == 0 ? 2.5 : 1))),
                    NOW);
        }
    }

    /** Assigns a request, in place of an earlier one. */
    @Benchmark
    public Assignment assign() {
        number = number % (upstreams * REQUESTS_PER_ENGINE) + 1;
        int session = number * 7919 % SESSIONS;
        EngineDemand demand = new EngineDemand(
                List.of(new PrefixSegment("house-" + session % 4, 2520), new PrefixSegment("session-" + session, 3780)),
                9190,
                52,
                Optional.of(new DomainId("domain-" + number % 3)),
                7_500_000,
                Set.of(),
                NOW.plusSeconds(6));
        return assigner.assign(
                new AttemptKey(NODE, new RequestId("request-" + number)), demand, engines, NOW.plusMillis(50));
    }
}
