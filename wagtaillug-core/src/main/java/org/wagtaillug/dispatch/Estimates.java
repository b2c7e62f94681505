package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.routing.Upstreams;

/** How long work and waiting are going to take, by what was seen of late. */
final class Estimates {
    private static final double MEDIAN = 0.5;

    private final Upstreams upstreams;
    private final Map<PoolId, Throughput> throughputs = new HashMap<>();

    Estimates(Upstreams upstreams) {
        this.upstreams = upstreams;
    }

    void completed(PoolId pool, Instant now) {
        throughputs.computeIfAbsent(pool, ignored -> new Throughput()).ended(now);
    }

    /** How long a request that is queued now waits behind so many others; zero while too little was seen to tell. */
    Duration wait(PoolId pool, int waiting, Instant now) {
        Throughput throughput = throughputs.get(pool);
        if (throughput == null || waiting == 0) {
            return Duration.ZERO;
        }
        return throughput.timeFor(waiting, now);
    }

    /** What the stages that are left of a request usually take, in nanoseconds. */
    long workLeftNanos(RequestFlow flow) {
        long nanos = 0;
        for (Stage stage : flow.stagesLeft()) {
            nanos += upstreams
                    .quantile(stage.pool(), MEDIAN)
                    .orElse(Duration.ZERO)
                    .toNanos();
        }
        return nanos;
    }

    /** Whether a request that still waits so long will miss its deadline. */
    boolean hopeless(RequestFlow flow, Duration wait, Instant now) {
        long needed = wait.toNanos() + workLeftNanos(flow);
        return Duration.between(now, flow.deadline()).toNanos() < needed;
    }
}
