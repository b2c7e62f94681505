package org.wagtaillug.daemon.translation;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.serving.ServingEvent;

/** Reads feeds from the store of the platform, and writes the records of feeds that the nodes own. */
public interface FeedSource {
    /** Starts one read without blocking; its outcome is reported by one event. */
    void read(FeedName feed, FeedReader.Read read, Consumer<ServingEvent> events);

    /**
     * Starts one write without blocking; its outcome is reported by one event.
     *
     * @param value the content; empty to remove the key
     * @param expectedEnd the write fails unless the feed ends at this position
     */
    void write(
            FeedName feed, String key, Optional<byte[]> value, OptionalLong expectedEnd, Consumer<ServingEvent> events);
}
