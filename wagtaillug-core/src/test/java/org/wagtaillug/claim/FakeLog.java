package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;

/** The claims stream in memory, with retention. */
final class FakeLog {
    private static final int LIMIT = 500;

    private final Duration retention;
    private final List<LogBatch.Entry> held = new ArrayList<>();
    private final List<LogBatch.Entry> ever = new ArrayList<>();
    private long end = 1;

    FakeLog(Duration retention) {
        this.retention = retention;
    }

    long append(LogRecord record, Instant now) {
        LogBatch.Entry entry = new LogBatch.Entry(end, now, record);
        held.add(entry);
        ever.add(entry);
        return end++;
    }

    LogBatch read(long from, Instant now) {
        while (!held.isEmpty() && held.getFirst().time().isBefore(now.minus(retention))) {
            held.removeFirst();
        }
        long oldest = held.isEmpty() ? end : held.getFirst().offset();
        int start = (int) Math.max(0, Math.min(held.size(), from - oldest));
        List<LogBatch.Entry> entries = held.subList(start, Math.min(held.size(), start + LIMIT));
        return new LogBatch(from, oldest, end, entries);
    }

    /** All that was ever appended, also what is no longer held. */
    List<LogBatch.Entry> ever() {
        return ever;
    }
}
