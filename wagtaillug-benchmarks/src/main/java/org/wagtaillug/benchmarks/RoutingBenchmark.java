package org.wagtaillug.benchmarks;

import java.time.Instant;
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
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.routing.Choice;
import org.wagtaillug.routing.LeastCompletionPolicy;

/** Chooses among all upstreams of a pool; the worst case is a pool that contains the whole fleet. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RoutingBenchmark {
    /** The number of upstreams in the pool. */
    @Param({"12", "74", "740"})
    public int upstreams;

    private final Stage stage =
            Stage.builder("generate").work(StageWork.GENERATE).build();
    private LeastCompletionPolicy policy;

    /** Creates the pool. */
    @Setup
    public void pool() {
        policy = new LeastCompletionPolicy(new Fleet("generate", upstreams), new DomainId("domain-1"));
    }

    /** Chooses an upstream for a request with a prompt prefix. */
    @Benchmark
    public Choice choose() {
        return policy.choose(stage, "weekly-brief", Set.of(), Instant.EPOCH);
    }
}
