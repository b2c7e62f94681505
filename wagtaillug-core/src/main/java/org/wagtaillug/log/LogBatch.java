package org.wagtaillug.log;

import java.time.Instant;
import java.util.List;

/**
 * What one read of a stream gave.
 *
 * @param from the offset that was asked for
 * @param oldest the oldest offset that the service still holds
 * @param end the offset that the next append will get; the read reached the tail if the last entry is {@code end - 1}
 * @param entries in order of offset, without gaps
 */
public record LogBatch(long from, long oldest, long end, List<Entry> entries) {
    /** Takes its own copy of the entries. */
    public LogBatch {
        entries = List.copyOf(entries);
    }

    /**
     * One record at its place.
     *
     * @param offset its place
     * @param time when the service took it, by the service's clock
     * @param record what it says
     */
    public record Entry(long offset, Instant time, LogRecord record) {}

    /** The offset after the last entry, or {@code from} (moved up to the oldest held) when there is none. */
    public long next() {
        return entries.isEmpty() ? Math.max(from, oldest) : entries.getLast().offset() + 1;
    }

    /** Whether nothing was left to read when the service answered. */
    public boolean atTail() {
        return next() >= end;
    }
}
