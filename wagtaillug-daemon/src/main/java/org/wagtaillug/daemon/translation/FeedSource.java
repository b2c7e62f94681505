package org.wagtaillug.daemon.translation;

import java.util.function.Consumer;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.feed.FeedReader;
import org.wagtaillug.serving.ServingEvent;

/** Reads feeds from the platform's store. */
public interface FeedSource {
    /** Makes one read without blocking; one event says what came of it. */
    void read(FeedName feed, FeedReader.Read read, Consumer<ServingEvent> events);
}
