package org.wagtaillug.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wagtaillug.directory.VersionKey;
import org.wagtaillug.id.PoolId;

/**
 * The versions at which pools have served recently, so that streams may have begun at them. Merges what this node observes
 * with what other nodes have recorded.
 */
public final class PoolVersions {
    /** How long a version counts after it was last listed; no stream can be taken up for longer. */
    public static final Duration MEMORY = Duration.ofMinutes(1);

    /** For this much longer, records of nodes that still count a version do not bring it back. */
    private static final Duration FORGOTTEN_MEMORY = Duration.ofMinutes(1);

    private final Map<PoolId, Map<VersionKey, Instant>> lastListed = new HashMap<>();

    /** Adds the versions at which upstreams of a pool are listed. */
    public void observe(PoolId pool, Set<VersionKey> versions, Instant now) {
        Map<VersionKey, Instant> known = lastListed.computeIfAbsent(pool, id -> new HashMap<>());
        versions.forEach(version -> known.put(version, now));
    }

    /** Adds the versions that a record names; it is not known how long ago they were listed. */
    public void merge(Map<PoolId, Set<VersionKey>> recorded, Instant now) {
        recorded.forEach((pool, versions) -> {
            Map<VersionKey, Instant> known = lastListed.computeIfAbsent(pool, id -> new HashMap<>());
            versions.forEach(version -> known.putIfAbsent(version, now));
        });
    }

    /** The versions of each pool that count now. */
    public Map<PoolId, Set<VersionKey>> recent(Instant now) {
        Map<PoolId, Set<VersionKey>> recent = new HashMap<>();
        lastListed.forEach((pool, versions) -> {
            versions.values().removeIf(last -> now.isAfter(last.plus(MEMORY).plus(FORGOTTEN_MEMORY)));
            Set<VersionKey> counting = new HashSet<>();
            versions.forEach((version, last) -> {
                if (!now.isAfter(last.plus(MEMORY))) {
                    counting.add(version);
                }
            });
            if (!counting.isEmpty()) {
                recent.put(pool, counting);
            }
        });
        return recent;
    }
}
