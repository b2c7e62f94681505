package org.wagtaillug.health;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;

/** How long the upstreams of each pool take to show the first sign of an answer, of late. */
public final class FirstProgress {
    private final Map<PoolId, LatencyWindow> windows = new HashMap<>();

    /** Takes in the time from an attempt's start to its first progress. */
    public void add(PoolId pool, Duration sinceStart) {
        windows.computeIfAbsent(pool, ignored -> new LatencyWindow()).add(sinceStart);
    }

    /**
     * The quantile of the last 256 times of a pool.
     *
     * @param share above 0, at most 1
     * @return empty while no attempt of the pool has made progress
     */
    public Optional<Duration> quantile(PoolId pool, double share) {
        LatencyWindow window = windows.get(pool);
        return window == null ? Optional.empty() : window.quantile(share);
    }
}
