package org.wagtaillug.standin.platform;

import java.util.ArrayList;
import java.util.List;

/** The retained records of one stream. Not thread-safe. */
final class RecordStream {
    /**
     * One record.
     *
     * @param offset its position in the stream, from 1
     * @param time when it was appended, in Unix milliseconds
     * @param data its content; base64-encoded in JSON
     */
    record Entry(long offset, long time, byte[] data) {}

    private static final int COMPACTION_THRESHOLD = 1_024;

    private final long retentionMillis;
    private final List<Entry> entries = new ArrayList<>();
    private int dropped;
    private long end = 1;

    RecordStream(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    long append(byte[] data, long now) {
        dropExpired(now);
        long offset = end;
        end++;
        entries.add(new Entry(offset, now, data));
        return offset;
    }

    /** Drops records older than the retention time. They are removed from the list in batches. */
    void dropExpired(long now) {
        while (dropped < entries.size() && now - entries.get(dropped).time() >= retentionMillis) {
            dropped++;
        }
        if (dropped >= COMPACTION_THRESHOLD) {
            entries.subList(0, dropped).clear();
            dropped = 0;
        }
    }

    /** Returns the oldest retained offset; {@link #end} if no record is retained. */
    long oldest() {
        return end - (entries.size() - dropped);
    }

    /** Returns the offset of the next append. */
    long end() {
        return end;
    }

    List<Entry> read(long from, int limit) {
        long first = Math.max(from, oldest());
        if (first >= end) {
            return List.of();
        }
        int start = dropped + (int) (first - oldest());
        return List.copyOf(entries.subList(start, (int) Math.min(entries.size(), start + (long) limit)));
    }
}
