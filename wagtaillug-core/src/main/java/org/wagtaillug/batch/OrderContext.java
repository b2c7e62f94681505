package org.wagtaillug.batch;

import java.util.Optional;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.SegmentId;

/**
 * What a scheduler knows of the request that an order belongs to.
 *
 * @param customer its customer; empty on a route that requires no key
 * @param content identifies its content, which is the same for a caller's next try; empty if the sender does not say
 * @param completedSteps the number of its steps that have been completed
 */
public record OrderContext(Optional<CustomerId> customer, Optional<SegmentId> content, int completedSteps) {
    /** The context of an order whose sender says nothing about its request. */
    public static final OrderContext NONE = new OrderContext(Optional.empty(), Optional.empty(), 0);
}
