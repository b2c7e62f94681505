package org.wagtaillug.batch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;

/**
 * An order for all items of one step of one request.
 *
 * @param id identifies the order
 * @param request the request that needs the items
 * @param step the number of the step in its route
 * @param pool the pool whose servers compute the items
 * @param items the number of items, which are numbered from 0
 * @param key the key that a step without inputs works on; empty for one with inputs
 * @param inputs the handles of the results that each item takes as input
 * @param resultBytes the approximate size of the result of one item
 * @param inputsDomain the failure domain that holds most of its inputs; empty if it has none
 * @param urgency its scheduling priority
 * @param context what is known of its request
 */
public record BatchOrder(
        OrderId id,
        RequestId request,
        int step,
        PoolId pool,
        int items,
        Optional<String> key,
        List<String> inputs,
        long resultBytes,
        Optional<DomainId> inputsDomain,
        Urgency urgency,
        OrderContext context) {
    /** Makes a defensive copy of the list. */
    public BatchOrder {
        inputs = List.copyOf(inputs);
    }

    /**
     * The scheduling priority of an order.
     *
     * @param rank the priority class; 0 is served first
     * @param targetTime the latency target: items finished by then let the request earn its full worth
     * @param deadline items finished later are useless
     */
    public record Urgency(int rank, Instant targetTime, Instant deadline) {}
}
