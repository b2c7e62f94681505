package org.wagtaillug.feed;

import java.util.Optional;

/**
 * One record of a feed, as it was written.
 *
 * @param key what it is about
 * @param offset its place in the feed; a later record has a greater one
 * @param value its content; empty if it removes the key
 */
public record FeedRecord(String key, long offset, Optional<byte[]> value) {}
