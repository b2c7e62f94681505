package org.wagtaillug.feed;

import java.time.Duration;

/** A feed, and how it is read. */
public enum FeedName {
    /**
     * What operators write. Changes are rare and must be in force within two seconds, so a read waits at the end of the
     * feed; two seconds, so that a connection that has fallen silent is noticed in three.
     */
    CONFIGURATION(Duration.ofSeconds(2), Duration.ZERO),
    /**
     * The upstreams' own entries. With dozens of upstreams that write every second or so, a read that waits would come
     * back at once each time: read at intervals instead. A server that leaves must get nothing new after two seconds, which
     * leaves room for one read that fails.
     */
    DIRECTORY(Duration.ZERO, Duration.ofMillis(700));

    private final Duration wait;
    private final Duration pause;

    FeedName(Duration wait, Duration pause) {
        this.wait = wait;
        this.pause = pause;
    }

    /** How long a read waits at the end of the feed for a new record. */
    public Duration longestWait() {
        return wait;
    }

    /** How long to wait between an answer and the next read. */
    public Duration pause() {
        return pause;
    }
}
