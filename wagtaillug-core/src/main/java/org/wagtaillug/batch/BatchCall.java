package org.wagtaillug.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.RequestId;

/**
 * One batched call to a server of a stage pool.
 *
 * @param number unique during the lifetime of the node's process
 * @param upstream the server
 * @param items the items to compute, in order
 * @param timeout how long to wait for the answer
 */
public record BatchCall(long number, Listing upstream, List<Item> items, Duration timeout) {
    /** Makes a defensive copy of the list. */
    public BatchCall {
        items = List.copyOf(items);
    }

    /**
     * One item of a step.
     *
     * @param request the request that needs it
     * @param step the number of the step
     * @param number its number, from 0
     * @param timeLeft the time left until the request's deadline
     * @param key the key that a step without inputs works on
     * @param inputs the handles of its input results
     */
    public record Item(
            RequestId request, int step, int number, Duration timeLeft, Optional<String> key, List<String> inputs) {}
}
