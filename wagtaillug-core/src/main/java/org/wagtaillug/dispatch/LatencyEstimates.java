package org.wagtaillug.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.routing.Upstreams;

/** LatencyEstimates processing time and queueing delay from recent observations. */
final class LatencyEstimates {
    private static final double MEDIAN = 0.5;

    private final Upstreams upstreams;
    private final Map<PoolId, Throughput> throughputs = new HashMap<>();

    LatencyEstimates(Upstreams upstreams) {
        this.upstreams = upstreams;
    }

    void onCompleted(PoolId pool, Instant now) {
        throughputs.computeIfAbsent(pool, ignored -> new Throughput()).onCompleted(now);
    }

    /** The expected queueing delay of a request behind {@code queued} others; zero while there are too few samples. */
    Duration queueDelay(PoolId pool, int queued, Instant now) {
        Throughput throughput = throughputs.get(pool);
        if (throughput == null || queued == 0) {
            return Duration.ZERO;
        }
        return throughput.timeToComplete(queued, now);
    }

    /** The median time of the remaining stages of a request, in nanoseconds. */
    long remainingNanos(RequestFlow flow) {
        long nanos = 0;
        for (Stage stage : flow.remainingStages()) {
            nanos += upstreams
                    .quantile(stage.pool(), MEDIAN)
                    .orElse(Duration.ZERO)
                    .toNanos();
        }
        return nanos;
    }

    /** Whether a request will miss its deadline if it waits this long before it starts. */
    boolean willMissDeadline(RequestFlow flow, Duration delay, Instant now) {
        long needed = delay.toNanos() + remainingNanos(flow);
        return Duration.between(now, flow.deadline()).toNanos() < needed;
    }
}
