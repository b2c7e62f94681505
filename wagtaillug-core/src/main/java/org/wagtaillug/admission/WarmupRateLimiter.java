package org.wagtaillug.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.VmId;

/**
 * Limits this node to one request per second to each cold upstream.
 *
 * <p>Prevents a crash loop, in which a cold upstream is overloaded, crashes, restarts cold and is overloaded again. The
 * roster limits how many nodes send to it, so the limit holds across nodes without coordination.
 */
public final class WarmupRateLimiter {
    /** Slightly more than a second, because requests sent a second apart may arrive closer together. */
    private static final Duration SPACING = Duration.ofMillis(1050);

    private final Map<VmId, Instant> lastSent = new HashMap<>();

    /** Whether a request may be sent to a cold upstream now. */
    public boolean allows(VmId upstream, Instant now) {
        Instant previous = lastSent.get(upstream);
        return previous == null || !now.isBefore(previous.plus(SPACING));
    }

    /** Records a request to any upstream, cold or not, so that it counts if the upstream turns cold just afterwards. */
    public void onSent(VmId upstream, Instant now) {
        lastSent.put(upstream, now);
    }
}
