package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.VmId;

/** Determines which nodes are not asked for assignments because they have not replied in time. */
final class AssignmentTimeouts {
    private static final int MAX_CONSECUTIVE = 3;

    private static final Duration PAUSE = Duration.ofSeconds(1);

    private final Map<VmId, Integer> consecutive = new HashMap<>();
    private final Map<VmId, Instant> pausedUntil = new HashMap<>();

    void onTimeout(VmId holder, Instant now) {
        if (consecutive.merge(holder, 1, Integer::sum) >= MAX_CONSECUTIVE) {
            consecutive.remove(holder);
            pausedUntil.put(holder, now.plus(PAUSE));
        }
    }

    void onReply(VmId holder) {
        consecutive.remove(holder);
        pausedUntil.remove(holder);
    }

    boolean paused(VmId holder, Instant now) {
        return now.isBefore(pausedUntil.getOrDefault(holder, Instant.EPOCH));
    }
}
