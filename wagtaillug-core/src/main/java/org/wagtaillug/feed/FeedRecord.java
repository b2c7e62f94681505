package org.wagtaillug.feed;

import java.util.Optional;

/**
 * A raw record of a feed.
 *
 * @param key the key
 * @param offset its {@link FeedPosition}; later records have higher ones
 * @param value the encoded value; empty if the record removes the key
 */
public record FeedRecord(String key, long offset, Optional<byte[]> value) {}
