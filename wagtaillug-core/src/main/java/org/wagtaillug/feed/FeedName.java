package org.wagtaillug.feed;

import java.time.Duration;

/** The feeds, with the parameters of their reads. */
public enum FeedName {
    /** Written by operators. Changes are rare and urgent, so reads are long polls. */
    CONFIGURATION(Duration.ofSeconds(2), Duration.ZERO),
    /**
     * Written by the upstreams. Dozens of them write about once a second, so a long poll would return at once each
     * time; this feed is polled at intervals instead.
     */
    DIRECTORY(Duration.ZERO, Duration.ofMillis(700)) {
        @Override
        boolean removesUnlistedAfterRestore() {
            return true;
        }
    },
    /**
     * Written by the nodes, which register themselves. When a fleet starts it writes dozens of records at once; the
     * pause between reads batches them.
     */
    MEMBERSHIP(Duration.ofSeconds(2), Duration.ofMillis(500)),
    /** The progress of rollouts; read only while there is one. */
    ROLLOUTS(Duration.ofSeconds(2), Duration.ZERO),
    /** The origins of streams, written by one node; read by the few nodes that answer for them, and not relayed. */
    STREAMS(Duration.ZERO, Duration.ofSeconds(5)) {
        @Override
        public boolean relayed() {
            return false;
        }
    },
    /**
     * Which prompts are quarantined, written by one node; read by the few nodes that decide it, which tell the others, and more
     * often by nodes without peers while upstreams crash.
     */
    QUARANTINE(Duration.ZERO, Duration.ofSeconds(30)) {
        @Override
        public boolean relayed() {
            return false;
        }
    },
    /**
     * The versions at which pools have served recently, written by one node; read by that node, and on demand by nodes whose
     * callers take up streams without naming them.
     */
    POOL_VERSIONS(Duration.ZERO, Duration.ofSeconds(30)) {
        @Override
        public boolean relayed() {
            return false;
        }
    };

    /** Added to the time between two reads, for a slow response and the message that relays it. */
    private static final Duration RELAY_ALLOWANCE = Duration.ofMillis(600);

    private final Duration wait;
    private final Duration pause;

    FeedName(Duration wait, Duration pause) {
        this.wait = wait;
        this.pause = pause;
    }

    /** How long a read waits for a new record at the end of the feed. */
    public Duration longestWait() {
        return wait;
    }

    /**
     * Whether a key that a restored store does not list counts as removed. Operators and nodes write what the store has
     * lost again, and removals as well; upstreams do so only while they live.
     */
    boolean removesUnlistedAfterRestore() {
        return false;
    }

    /** Whether nodes that read the feed relay it to the others. */
    public boolean relayed() {
        return true;
    }

    /** The pause between a response and the next read. */
    public Duration pause() {
        return pause;
    }

    /** A follower reads the feed itself if no reader has relayed a read to it for this long. */
    public Duration relayTimeout() {
        return wait.plus(pause).plus(RELAY_ALLOWANCE);
    }
}
