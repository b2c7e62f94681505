package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;

/**
 * A request for capacity of a pool, for a step that is to be ordered later.
 *
 * @param id identifies the reservation: the asking node, and a number that is unique within a run of it
 * @param request the request that the step belongs to
 * @param step the number of the step
 * @param pool the pool
 * @param items the number of items
 * @param resultBytes the approximate size of one result
 * @param urgency the rank, latency target and deadline of the step
 * @param arrivesAt when the step is expected to be ordered
 */
public record Reservation(
        OrderId id,
        RequestId request,
        int step,
        PoolId pool,
        int items,
        long resultBytes,
        BatchOrder.Urgency urgency,
        Instant arrivesAt) {
    /**
     * The answer to a request for a reservation.
     *
     * @param granted whether the capacity is reserved
     * @param workAhead the number of items that will be served before it when its order arrives
     * @param queueWait the expected time from the arrival of the order until its items are sent, for lack of servers
     * @param roomWait the expected time from the arrival of the order until its results have room
     * @param retryAfter the time until the pool could take it; zero if it is granted
     */
    public record Answer(
            boolean granted, double workAhead, Duration queueWait, Duration roomWait, Duration retryAfter) {}
}
