package org.wagtaillug.standin.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of an upstream since the start of the stand-in process; a simulated restart does not reset them.
 *
 * @param executed the number of completed requests
 * @param cancelled the number of requests cancelled explicitly or by a closed connection
 * @param refused the number of requests answered 429
 * @param fellOver the number of crashes caused by overload while cold
 * @param peakRunningWhileCold the maximum number of concurrent requests while cold, including one that caused a crash
 * @param lastTakenAt when it last accepted a request, in Unix milliseconds; 0 if never
 * @param prefixHits the number of completions whose prompt prefix was cached; engines only
 * @param prefixMisses the number of completions whose prompt prefix was not cached; engines only
 * @param byRequest the number of executions of each recent request, by request id
 */
public record Counters(
        long executed,
        long cancelled,
        long refused,
        long fellOver,
        long peakRunningWhileCold,
        long lastTakenAt,
        long prefixHits,
        long prefixMisses,
        Map<String, Integer> byRequest) {

    /** Accumulates {@link Counters}. Not thread-safe. */
    static final class Tally {
        private static final int MAX_REQUESTS = 10_000;

        private long executed;
        private long cancelled;
        private long refused;
        private long fellOver;
        private long lastTakenAt;
        private long prefixHits;
        private long prefixMisses;
        private final Map<String, Integer> byRequest = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                return size() > MAX_REQUESTS;
            }
        };

        void executed(String request) {
            executed++;
            byRequest.merge(request, 1, Integer::sum);
        }

        void cancelled() {
            cancelled++;
        }

        void refused() {
            refused++;
        }

        void fellOver() {
            fellOver++;
        }

        void taken(long now) {
            lastTakenAt = now;
        }

        void prefix(boolean cached) {
            prefixHits += cached ? 1 : 0;
            prefixMisses += cached ? 0 : 1;
        }

        Counters snapshot(int peakRunningWhileCold) {
            return new Counters(
                    executed,
                    cancelled,
                    refused,
                    fellOver,
                    peakRunningWhileCold,
                    lastTakenAt,
                    prefixHits,
                    prefixMisses,
                    new LinkedHashMap<>(byRequest));
        }
    }
}
