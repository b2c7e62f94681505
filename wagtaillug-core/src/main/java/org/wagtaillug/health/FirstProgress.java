package org.wagtaillug.health;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;

/** Recent times to first progress of attempts, by pool. */
public final class FirstProgress {
    private final Map<PoolId, LatencyWindow> windows = new HashMap<>();

    /** Records the time from an attempt's start to its first progress. */
    public void add(PoolId pool, Duration sinceStart) {
        windows.computeIfAbsent(pool, ignored -> new LatencyWindow()).add(sinceStart);
    }

    /**
     * A quantile of the last 256 times of a pool.
     *
     * @param quantile the quantile, above 0, at most 1
     * @return empty while no attempt of the pool has made progress
     */
    public Optional<Duration> quantile(PoolId pool, double quantile) {
        LatencyWindow window = windows.get(pool);
        return window == null ? Optional.empty() : window.quantile(quantile);
    }
}
