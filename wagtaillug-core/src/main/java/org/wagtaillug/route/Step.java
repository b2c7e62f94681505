package org.wagtaillug.route;

import java.util.List;
import org.wagtaillug.id.PoolId;

/**
 * Work that has to be done before a request of a route can run.
 *
 * @param number from 0, its place in the route
 * @param pool whose servers do it
 * @param after the numbers of the steps whose results it takes
 * @param resultBytes about how large the result of one piece is
 */
public record Step(int number, PoolId pool, List<Integer> after, long resultBytes) {
    /** Copies the list. */
    public Step {
        after = List.copyOf(after);
    }
}
