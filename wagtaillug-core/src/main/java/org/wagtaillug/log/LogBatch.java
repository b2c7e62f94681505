package org.wagtaillug.log;

import java.time.Instant;
import java.util.List;

/**
 * The response to a read of a stream.
 *
 * @param from the requested offset
 * @param oldest the oldest offset that the service retains
 * @param end the offset that the next append will get; the read reached the tail if the last entry is {@code end - 1}
 * @param entries in order of offset, without gaps
 */
public record LogBatch(long from, long oldest, long end, List<Entry> entries) {
    /** Copies the entries. */
    public LogBatch {
        entries = List.copyOf(entries);
    }

    /**
     * A record and its position on the stream.
     *
     * @param offset its offset
     * @param time when the service accepted it, by the service's clock
     * @param record the record
     */
    public record Entry(long offset, Instant time, LogRecord record) {}

    /**
     * The offset after the last entry; without entries {@code from}, or the oldest retained offset if that is higher.
     */
    public long next() {
        return entries.isEmpty() ? Math.max(from, oldest) : entries.getLast().offset() + 1;
    }

    /** Whether the read reached the tail of the stream when the service answered. */
    public boolean atTail() {
        return next() >= end;
    }
}
