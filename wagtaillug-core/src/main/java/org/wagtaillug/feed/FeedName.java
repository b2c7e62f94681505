package org.wagtaillug.feed;

import java.time.Duration;

/** A feed, and how it is read. */
public enum FeedName {
    /** What operators write. Changes are rare and urgent, so a read waits at the end of the feed. */
    CONFIGURATION(Duration.ofSeconds(2), Duration.ZERO),
    /**
     * The upstreams' own entries. Dozens of upstreams write every second or so, and a read that waits would come back at
     * once each time: it is read at intervals instead.
     */
    DIRECTORY(Duration.ZERO, Duration.ofMillis(700)),
    /** The nodes that have registered themselves. A fleet that starts writes dozens of records at once: the pause collects them. */
    MEMBERSHIP(Duration.ofSeconds(2), Duration.ofMillis(500)),
    /** How far rollouts are; read only while there is one. */
    ROLLOUTS(Duration.ofSeconds(2), Duration.ZERO);

    /** Beyond the time between two reads: an answer that is slow, and the message that passes it on. */
    private static final Duration RELAY_ALLOWANCE = Duration.ofMillis(600);

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

    /** A node that follows others' reads reads for itself when it has not been told of one for this long. */
    public Duration relayTimeout() {
        return wait.plus(pause).plus(RELAY_ALLOWANCE);
    }
}
