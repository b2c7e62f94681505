package org.wagtaillug.feed;

import java.util.List;

/**
 * What a read of a feed gave.
 *
 * @param next the offset to go on from
 * @param whole whether {@code records} holds the newest record of every key, so that keys that are not in it are gone
 * @param records in any order
 */
public record FeedBatch(long next, boolean whole, List<FeedRecord> records) {
    /** Copies the list. */
    public FeedBatch {
        records = List.copyOf(records);
    }
}
