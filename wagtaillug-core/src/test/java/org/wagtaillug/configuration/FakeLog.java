package org.wagtaillug.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;

/** In-memory control stream. */
public final class FakeLog {
    private final List<LogBatch.Entry> entries = new ArrayList<>();
    private long oldest = 1;

    public long append(LogRecord record, Instant time) {
        long offset = entries.size() + 1;
        entries.add(new LogBatch.Entry(offset, time, record));
        return offset;
    }

    public void dropBefore(long offset) {
        oldest = offset;
    }

    public LogBatch read(long from, int limit) {
        long first = Math.max(from, oldest);
        long end = entries.size() + 1;
        long after = Math.max(first, Math.min(end, first + limit));
        List<LogBatch.Entry> batchEntries =
                first >= end ? List.of() : entries.subList((int) first - 1, (int) Math.min(after, end) - 1);
        return new LogBatch(from, oldest, end, batchEntries);
    }

    public List<LogBatch.Entry> all() {
        return List.copyOf(entries);
    }
}
