package org.wagtaillug.standin.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What an upstream has done since its process started; a restart does not reset it.
 *
 * @param executed how many requests were finished
 * @param cancelled how many were cancelled, by order or by a closed connection
 * @param refused how many were answered 429
 * @param fellOver how often it fell over while cold
 * @param peakRunningWhileCold the most requests that it was given at once while cold, one too many included
 * @param lastTakenAt when it was last given a request that it took; 0 if never
 * @param prefixHits how many completions found their prompt's prefix cached; engines only
 * @param prefixMisses how many did not; engines only
 * @param byRequest how often each of the last requests was executed, by request id
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

    /** The counting behind {@link Counters}. Not safe from several threads. */
    static final class Tally {
        private static final int REQUESTS_KEPT = 10_000;

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
                return size() > REQUESTS_KEPT;
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
