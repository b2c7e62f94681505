package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wagtaillug.id.VmId;

/**
 * Tracks the engines to which this node has recently sent each prefix segment. When a segment's home is overloaded, requests
 * spill over to another engine, which then has the segment cached as well. Later requests that spill over prefer that engine
 * instead of making a third one read the segment.
 */
final class PrefixHistory {
    /** An engine under load reads enough prompts in about this time to replace its whole cache. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private static final int MAX_SEGMENTS = 4096;

    private final Map<String, Map<VmId, Instant>> sentBySegment = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<VmId, Instant>> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    void onSent(List<PrefixSegment> segments, VmId engine, Instant now) {
        for (PrefixSegment segment : segments) {
            Map<VmId, Instant> sentTimes = sentBySegment.computeIfAbsent(segment.id(), id -> new HashMap<>());
            sentTimes.values().removeIf(at -> expired(at, now));
            sentTimes.put(engine, now);
        }
    }

    boolean recentlySent(PrefixSegment segment, VmId engine, Instant now) {
        Instant at = sentBySegment.getOrDefault(segment.id(), Map.of()).get(engine);
        return at != null && !expired(at, now);
    }

    /** Forgets an engine that has restarted with an empty cache. */
    void forget(VmId engine) {
        sentBySegment.values().forEach(sentTimes -> sentTimes.remove(engine));
    }

    private static boolean expired(Instant at, Instant now) {
        return now.isAfter(at.plus(RETENTION));
    }
}
