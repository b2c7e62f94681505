package org.wagtaillug.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** One node: every decision, driven by events. */
public final class Node {
    /** How often a frame sends {@link Event.Tick} at least. */
    public static final Duration TICK = Duration.ofMillis(50);

    private final Effects effects = new Effects();

    /** Takes in one event and gives what has to be done. */
    public List<Effect> handle(Event event, Instant now) {
        return effects.drain();
    }
}
