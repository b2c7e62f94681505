package org.wagtaillug.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The latest record of each key of one feed.
 *
 * <p>Positions are those of {@link FeedPosition}: the records of a store that has come back from an earlier copy are later
 * than all that were read before.
 *
 * <p>Responses may arrive out of order, and a store that lags behind may return stale records. Applying them
 * would restore a route or a key that an operator has removed, and requests would be handled by an older version than
 * earlier ones. A record is applied only if its offset is higher than that of the current record of its key, and the
 * position only moves forward; neither goes back while the process runs.
 */
public final class Feed {
    private final Map<String, FeedRecord> latest = new HashMap<>();
    private final boolean removesUnlistedAfterRestore;
    private long next;
    private boolean complete;

    /** Creates a feed in which keys that a restored store does not list count as removed. */
    public Feed() {
        this(true);
    }

    /** Creates an empty feed. */
    public Feed(FeedName name) {
        this(name.removesUnlistedAfterRestore());
    }

    private Feed(boolean removesUnlistedAfterRestore) {
        this.removesUnlistedAfterRestore = removesUnlistedAfterRestore;
    }

    /**
     * Applies the result of a read.
     *
     * @return the records that were applied, in the order of their offsets
     */
    public List<FeedRecord> apply(FeedBatch batch) {
        List<FeedRecord> changed = new ArrayList<>();
        if (complete && FeedPosition.era(batch.next()) < FeedPosition.era(next)) {
            // Read before the store came back from an earlier copy; it may hold keys that are gone since.
            return changed;
        }
        for (FeedRecord record : batch.records()) {
            FeedRecord current = latest.get(record.key());
            if (current == null || record.offset() > current.offset()) {
                latest.put(record.key(), record);
                changed.add(record);
            }
        }
        if (batch.complete() && batch.next() >= next) {
            if (removesUnlistedAfterRestore || !restoredBy(batch.next())) {
                changed.addAll(removeUnlisted(batch));
            }
            complete = true;
        }
        next = Math.max(next, batch.next());
        changed.sort((one, other) -> Long.compare(one.offset(), other.offset()));
        return changed;
    }

    /** Whether a position shows that the store has come back from an earlier copy since the last read. */
    public boolean restoredBy(long position) {
        return complete && FeedPosition.era(position) > FeedPosition.era(next);
    }

    /** Removes keys that are missing from a complete listing: the records that removed them are no longer retained. */
    private List<FeedRecord> removeUnlisted(FeedBatch batch) {
        Map<String, FeedRecord> listed = new HashMap<>();
        batch.records().forEach(record -> listed.put(record.key(), record));
        List<FeedRecord> removed = new ArrayList<>();
        for (FeedRecord current : List.copyOf(latest.values())) {
            boolean missing = !listed.containsKey(current.key())
                    && current.value().isPresent()
                    && current.offset() < batch.next();
            if (missing) {
                FeedRecord removal = new FeedRecord(current.key(), batch.next() - 1, Optional.empty());
                latest.put(current.key(), removal);
                removed.add(removal);
            }
        }
        return removed;
    }

    /** The offset from which to read next. */
    public long next() {
        return next;
    }

    /** Whether all keys written before {@link #next} are known. */
    public boolean complete() {
        return complete;
    }

    /** The records that a peer is missing that has read up to an offset; all of them if it has read nothing. */
    public FeedBatch after(long from) {
        List<FeedRecord> records = new ArrayList<>();
        for (FeedRecord record : latest.values()) {
            if (record.offset() >= from) {
                records.add(record);
            }
        }
        return new FeedBatch(next, from == 0, records);
    }
}
