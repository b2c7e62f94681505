package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;

/** In-memory claims stream with a retention period. */
final class FakeLog {
    private static final int MAX_READ_ENTRIES = 500;

    private final Duration retention;
    private final List<LogBatch.Entry> retained = new ArrayList<>();
    private final List<LogBatch.Entry> allAppended = new ArrayList<>();
    private long end = 1;

    FakeLog(Duration retention) {
        this.retention = retention;
    }

    long append(LogRecord record, Instant now) {
        LogBatch.Entry entry = new LogBatch.Entry(end, now, record);
        retained.add(entry);
        allAppended.add(entry);
        return end++;
    }

    LogBatch read(long from, Instant now) {
        while (!retained.isEmpty() && retained.getFirst().time().isBefore(now.minus(retention))) {
            retained.removeFirst();
        }
        long oldest = retained.isEmpty() ? end : retained.getFirst().offset();
        int start = (int) Math.max(0, Math.min(retained.size(), from - oldest));
        List<LogBatch.Entry> entries = retained.subList(start, Math.min(retained.size(), start + MAX_READ_ENTRIES));
        return new LogBatch(from, oldest, end, entries);
    }

    /** All entries that were ever appended, including those dropped by retention. */
    List<LogBatch.Entry> allAppended() {
        return allAppended;
    }
}
