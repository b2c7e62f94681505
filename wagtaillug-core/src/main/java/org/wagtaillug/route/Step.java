package org.wagtaillug.route;

import java.util.List;
import org.wagtaillug.id.PoolId;

/**
 * A step that has to be completed before a request of a route can run.
 *
 * @param number its position in the route, from 0
 * @param pool the pool whose servers execute it
 * @param predecessors the numbers of the steps whose results are its inputs
 * @param resultBytes the approximate size of the result of one item
 */
public record Step(int number, PoolId pool, List<Integer> predecessors, long resultBytes) {
    /** Makes a defensive copy of the list. */
    public Step {
        predecessors = List.copyOf(predecessors);
    }
}
