package org.wagtaillug.daemon.routed;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory of all incomplete answers of a node together. */
final class AnswerMemory {
    /** An answer up to this length always has room, so that long ones do not fail those of other upstreams. */
    static final int RESERVED_BYTES = 64 * 1024;

    private final AtomicLong used = new AtomicLong();
    private final long limit;

    /** Creates an empty memory with a limit in bytes for what answers hold beyond the reserved bytes. */
    AnswerMemory(long limit) {
        this.limit = limit;
    }

    /** Grows an answer; returns whether there is room for it. */
    boolean tryGrow(int length, int growth) {
        int more = excess(length + growth) - excess(length);
        if (used.addAndGet(more) <= limit || more == 0) {
            return true;
        }
        used.addAndGet(-more);
        return false;
    }

    /** Releases the memory of an answer. */
    void release(int length) {
        used.addAndGet(-excess(length));
    }

    private static int excess(int length) {
        return Math.max(0, length - RESERVED_BYTES);
    }
}
