package org.wagtaillug.node;

import java.util.ArrayList;
import java.util.List;

/** Collects what the parts of a node want done in answer to one event, in order. */
public final class Effects {
    private final List<Effect> collected = new ArrayList<>();
    private long lastAppend;

    /** Adds an effect. */
    public void add(Effect effect) {
        collected.add(effect);
    }

    /** A number for the next append; never given twice in a run. */
    public long nextAppend() {
        lastAppend++;
        return lastAppend;
    }

    /** All effects since the last call, in order. */
    public List<Effect> drain() {
        List<Effect> effects = List.copyOf(collected);
        collected.clear();
        return effects;
    }
}
