package org.wagtaillug.daemon.body;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/**
 * Bounds the memory of the bodies of all requests of a node together, from the first byte until the request is completed.
 * Thread-safe.
 */
public final class BodyMemory {
    /** Refuses a request whose body has no room. */
    public static final Refusal FULL = Refusal.notRun(
            ResultCode.OVERLOADED,
            Duration.ofMillis(500),
            "the bodies of other requests take all the memory for them, retry on another node");

    /** A body up to this length always has room, so that long ones do not get the requests of others refused. */
    static final int FREE_BYTES = 64 * 1024;

    /** The part of the heap that bodies may take; answers and the decision logic need the rest. */
    private static final int HEAP_DIVISOR = 3;

    private final AtomicLong used = new AtomicLong();
    private final long limit;

    /** Creates an empty memory with a limit in bytes for what bodies take beyond the free bytes. */
    BodyMemory(long limit) {
        this.limit = limit;
    }

    /** Creates an empty memory that takes a part of a heap. */
    public static BodyMemory ofHeap(long maxHeapBytes) {
        return new BodyMemory(maxHeapBytes / HEAP_DIVISOR);
    }

    /** The bytes that are reserved. */
    public long used() {
        return used.get();
    }

    /** Opens the reservation of a body, which is empty. */
    Reservation open() {
        return new Reservation();
    }

    /** The memory of one body. */
    final class Reservation {
        private long bytes;
        private boolean closed;

        /** Changes the number of reserved bytes; returns false, and changes nothing, if there is no room. */
        synchronized boolean resize(long required) {
            if (closed) {
                return false;
            }
            long growth = excess(required) - excess(bytes);
            if (used.addAndGet(growth) > limit && growth > 0) {
                used.addAndGet(-growth);
                return false;
            }
            bytes = required;
            return true;
        }

        /** Releases all; does nothing if that has been done. */
        synchronized void close() {
            if (!closed) {
                closed = true;
                used.addAndGet(-excess(bytes));
            }
        }

        private static long excess(long length) {
            return Math.max(0, length - FREE_BYTES);
        }
    }
}
