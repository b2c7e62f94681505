package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutStatus;

/**
 * The rollout statuses that a store which has come back from an earlier copy may have lost, until they are read again.
 *
 * <p>All nodes remember them; the coordinator writes them.
 */
final class LostStatuses {
    /** A status that nobody has written again by then is given up. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private static final Duration WRITE_INTERVAL = Duration.ofSeconds(1);

    private final Map<PoolId, RolloutStatus> lost = new HashMap<>();
    private Instant until = Instant.EPOCH;
    private Instant nextWrite = Instant.EPOCH;

    /** The store has come back; all known statuses may be lost. */
    void onRestored(Map<PoolId, RolloutStatus> known, Instant now) {
        lost.putAll(known);
        until = now.plus(RETENTION);
    }

    /** A status was read that is not older than the known one. */
    void onRead(PoolId pool) {
        lost.remove(pool);
    }

    boolean isEmpty() {
        return lost.isEmpty();
    }

    /** Forgets statuses that were not written again in time. */
    void onTick(Instant now) {
        if (!now.isBefore(until)) {
            lost.clear();
        }
    }

    /** A status to write now; the position of the feed changes with each write, so there is one at a time. */
    Optional<Map.Entry<PoolId, RolloutStatus>> due(Instant now) {
        if (lost.isEmpty() || now.isBefore(nextWrite)) {
            return Optional.empty();
        }
        nextWrite = now.plus(WRITE_INTERVAL);
        return lost.entrySet().stream().findFirst();
    }
}
