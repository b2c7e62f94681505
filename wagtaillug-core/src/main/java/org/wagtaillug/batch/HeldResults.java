package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The account of one server's room for results: what its calls under way will need and what lies there.
 *
 * <p>A call whose results find no room fails for those pieces, after its time was spent; so a piece is sent only when the
 * account has room for it. The server's own figure is asked for nowhere: asking costs as much as a health check.
 */
final class HeldResults {
    private final Map<String, Held> held = new HashMap<>();
    private long heldBytes;
    private long reservedBytes;

    private record Held(long bytes, Instant until) {}

    /** Bytes in use or promised. */
    long used() {
        return heldBytes + reservedBytes;
    }

    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    void unreserve(long bytes) {
        reservedBytes -= bytes;
    }

    void hold(String handle, long bytes, Instant now, Duration lifetime) {
        held.put(handle, new Held(bytes, now.plus(lifetime)));
        heldBytes += bytes;
    }

    /** Whether the result lay there. */
    boolean release(String handle) {
        Held released = held.remove(handle);
        if (released == null) {
            return false;
        }
        heldBytes -= released.bytes();
        return true;
    }

    /** Forgets results whose lifetime at the server has ended. */
    void expire(Instant now) {
        for (Iterator<Held> each = held.values().iterator(); each.hasNext(); ) {
            Held one = each.next();
            if (!now.isBefore(one.until())) {
                heldBytes -= one.bytes();
                each.remove();
            }
        }
    }
}
