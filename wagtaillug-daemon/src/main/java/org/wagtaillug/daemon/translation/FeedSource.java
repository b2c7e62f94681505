package org.wagtaillug.daemon.translation;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.serving.ServingEvent;

/** Reads feeds from the platform's store, and writes the records of those that belong to the nodes. */
public interface FeedSource {
    /** Makes one read without blocking; one event says what came of it. */
    void read(FeedName feed, FeedReader.Read read, Consumer<ServingEvent> events);

    /**
     * Makes one write without blocking; one event says what came of it.
     *
     * @param value empty to remove the key
     * @param expectedEnd the write fails unless the feed ends here
     */
    void write(
            FeedName feed, String key, Optional<byte[]> value, OptionalLong expectedEnd, Consumer<ServingEvent> events);
}
