package org.wagtaillug.dispatch;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.PoolId;

/** Counts the demand for each pool per tick and tracks its recent peak. */
final class PoolDemands {
    private final Map<PoolId, Integer> counts = new HashMap<>();
    private final Map<PoolId, PeakDemand> peaks = new HashMap<>();

    /** Adds to the current demand for a pool. */
    void add(PoolId pool, int amount) {
        counts.merge(pool, amount, Integer::sum);
    }

    /** Returns the recent peak of each pool with demand since the last call, and resets the counts. */
    Map<PoolId, Integer> takePeaks(Instant now) {
        Map<PoolId, Integer> result = new HashMap<>();
        counts.forEach((pool, demand) -> {
            PeakDemand peak = peaks.computeIfAbsent(pool, ignored -> new PeakDemand());
            result.put(pool, peak.update(demand, now));
        });
        counts.clear();
        return result;
    }
}
