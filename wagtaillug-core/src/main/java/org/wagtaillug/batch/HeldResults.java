package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tracks one server's result storage: the results that it holds and the space reserved by calls in progress.
 *
 * <p>If the results of a call exceed the server's capacity, the affected items fail after their time has been spent, so an
 * item is sent only if its result fits by this account. The server is not asked for its actual usage, because such a request
 * costs as much as a health check.
 */
final class HeldResults {
    private final Map<String, HeldResult> held = new HashMap<>();
    private long heldBytes;
    private long reservedBytes;

    private record HeldResult(long bytes, Instant until) {}

    /** The number of bytes held or reserved. */
    long usedBytes() {
        return heldBytes + reservedBytes;
    }

    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    void unreserve(long bytes) {
        reservedBytes -= bytes;
    }

    void add(String handle, long bytes, Instant now, Duration lifetime) {
        held.put(handle, new HeldResult(bytes, now.plus(lifetime)));
        heldBytes += bytes;
    }

    /** Removes a result; returns whether it was held. */
    boolean release(String handle) {
        HeldResult released = held.remove(handle);
        if (released == null) {
            return false;
        }
        heldBytes -= released.bytes();
        return true;
    }

    /** Removes the results whose lifetime at the server has ended. */
    void expire(Instant now) {
        for (Iterator<HeldResult> iterator = held.values().iterator(); iterator.hasNext(); ) {
            HeldResult result = iterator.next();
            if (!now.isBefore(result.until())) {
                heldBytes -= result.bytes();
                iterator.remove();
            }
        }
    }
}
