package org.wagtaillug.node;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one event, in order. */
public final class Effects {
    private final List<Effect> collected = new ArrayList<>();
    private long lastAppend;

    /** Adds an effect. */
    public void add(Effect effect) {
        collected.add(effect);
    }

    /** A number for the next append, unique within this process. */
    public long nextAppend() {
        lastAppend++;
        return lastAppend;
    }

    /** Returns and clears the effects since the last call, in order. */
    public List<Effect> drain() {
        List<Effect> effects = List.copyOf(collected);
        collected.clear();
        return effects;
    }
}
