package org.wagtaillug.standin.platform;

import java.util.ArrayList;
import java.util.List;

/** The records of one stream that are still held. Not safe from several threads. */
final class RecordStream {
    /**
     * One record.
     *
     * @param offset its place, from 1
     * @param time when it was appended, in Unix milliseconds
     * @param data its bytes; base64 in JSON
     */
    record Entry(long offset, long time, byte[] data) {}

    private static final int DROP_AT_ONCE = 1_024;

    private final long retentionMillis;
    private final List<Entry> entries = new ArrayList<>();
    private int dropped;
    private long end = 1;

    RecordStream(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    long append(byte[] data, long now) {
        dropOld(now);
        long offset = end;
        end++;
        entries.add(new Entry(offset, now, data));
        return offset;
    }

    /** Drops what has passed the retention time. */
    void dropOld(long now) {
        while (dropped < entries.size() && now - entries.get(dropped).time() >= retentionMillis) {
            dropped++;
        }
        if (dropped >= DROP_AT_ONCE) {
            entries.subList(0, dropped).clear();
            dropped = 0;
        }
    }

    /** Returns the oldest offset that is still held; {@link #end} when none is. */
    long oldest() {
        return end - (entries.size() - dropped);
    }

    /** Returns the offset that the next append will get. */
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
