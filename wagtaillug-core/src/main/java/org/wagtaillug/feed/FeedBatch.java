package org.wagtaillug.feed;

import java.util.List;

/**
 * The result of a read of a feed.
 *
 * @param next the offset from which to read next
 * @param complete whether {@code records} contains the latest record of every key, so that keys that it lacks were
 *     removed
 * @param records the records, in any order
 */
public record FeedBatch(long next, boolean complete, List<FeedRecord> records) {
    /** Makes a defensive copy of the list. */
    public FeedBatch {
        records = List.copyOf(records);
    }
}
