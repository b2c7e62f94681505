package org.wagtaillug.peer;

import java.util.List;
import org.wagtaillug.id.VmId;

/**
 * A task that one or a few nodes perform for the other nodes, such as scheduling the calls of a pool.
 *
 * @param ranking the candidates, in order of preference
 * @param holders the number of nodes that hold the duty at the same time
 * @param needsStore whether only nodes that can read the store may hold the duty
 */
public record Duty(List<VmId> ranking, int holders, boolean needsStore) {
    /** Makes a defensive copy of the list. */
    public Duty {
        ranking = List.copyOf(ranking);
    }

    /** Creates a duty with one holder that does not need the store. */
    public static Duty of(List<VmId> ranking) {
        return new Duty(ranking, 1, false);
    }
}
