package org.wagtaillug.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest record of each key of one feed.
 *
 * <p>Answers may overtake one another, and a store that is behind may answer with old records. Taking them would bring back
 * a route or a key that an operator has dropped, and would show as requests that are handled by an older version than the
 * ones before. A record counts only if its offset is above that of the record that is held, and a position only if it is
 * above the one that was reached; nothing ever goes back while the process lives.
 */
public final class Feed {
    private final Map<String, FeedRecord> newest = new HashMap<>();
    private long next;
    private boolean whole;

    /**
     * Takes in what a read gave.
     *
     * @return the records that changed something, in the order of their offsets
     */
    public List<FeedRecord> apply(FeedBatch batch) {
        List<FeedRecord> changed = new ArrayList<>();
        for (FeedRecord record : batch.records()) {
            FeedRecord held = newest.get(record.key());
            if (held == null || record.offset() > held.offset()) {
                newest.put(record.key(), record);
                changed.add(record);
            }
        }
        if (batch.whole() && batch.next() >= next) {
            changed.addAll(dropMissing(batch));
            whole = true;
        }
        next = Math.max(next, batch.next());
        changed.sort((one, other) -> Long.compare(one.offset(), other.offset()));
        return changed;
    }

    /** Keys that a whole listing does not name were removed by records that are no longer kept. */
    private List<FeedRecord> dropMissing(FeedBatch batch) {
        Map<String, FeedRecord> listed = new HashMap<>();
        batch.records().forEach(record -> listed.put(record.key(), record));
        List<FeedRecord> dropped = new ArrayList<>();
        for (FeedRecord held : List.copyOf(newest.values())) {
            boolean gone = !listed.containsKey(held.key()) && held.value().isPresent() && held.offset() < batch.next();
            if (gone) {
                FeedRecord removal = new FeedRecord(held.key(), batch.next() - 1, Optional.empty());
                newest.put(held.key(), removal);
                dropped.add(removal);
            }
        }
        return dropped;
    }

    /** The offset to go on from. */
    public long next() {
        return next;
    }

    /** Whether everything that was written up to {@link #next} is known. */
    public boolean whole() {
        return whole;
    }

    /** What a peer that has read up to an offset lacks: everything, if it has read nothing. */
    public FeedBatch after(long from) {
        List<FeedRecord> records = new ArrayList<>();
        for (FeedRecord record : newest.values()) {
            if (record.offset() >= from) {
                records.add(record);
            }
        }
        return new FeedBatch(next, from == 0, records);
    }
}
