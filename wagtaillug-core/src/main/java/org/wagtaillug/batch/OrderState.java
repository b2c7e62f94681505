package org.wagtaillug.batch;

import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.route.BatchContract;

/** The progress of one order. */
final class OrderState {
    /** Broken calls of an order that other orders share; most orders that were in one are not in a second. */
    private static final int SHARED_BROKEN_CALLS = 2;

    private final BatchOrder order;
    private final BatchContract contract;
    private final StepResult[] results;
    private int missingResults;
    private int failures;
    private int brokenCalls;
    private boolean ended;
    private boolean reserved;

    OrderState(BatchOrder order, BatchContract contract) {
        this.order = order;
        this.contract = contract;
        this.results = new StepResult[order.items()];
        this.missingResults = order.items();
    }

    BatchOrder order() {
        return order;
    }

    BatchContract contract() {
        return contract;
    }

    /** Records the result of an item; returns whether all items now have a result. */
    boolean recordResult(int item, StepResult result) {
        if (results[item] == null) {
            missingResults--;
        }
        results[item] = result;
        return missingResults == 0;
    }

    /** Records a failed attempt at one of its items; returns the number of failures so far. */
    int recordFailure() {
        failures++;
        return failures;
    }

    /** Records that a call with items of it broke off; returns the number of such calls so far. */
    int recordBrokenCall() {
        brokenCalls++;
        return brokenCalls;
    }

    /** Whether its items must not share a call with those of other orders, as they may be what ends servers. */
    boolean isolated() {
        return brokenCalls >= SHARED_BROKEN_CALLS;
    }

    void markReserved() {
        reserved = true;
    }

    /** Whether capacity had been reserved for it before it arrived. */
    boolean reserved() {
        return reserved;
    }

    void end() {
        ended = true;
    }

    /** Whether its outcome has been published or the order was withdrawn. */
    boolean ended() {
        return ended;
    }

    List<StepResult> results() {
        List<StepResult> available = new ArrayList<>();
        for (StepResult result : results) {
            if (result != null) {
                available.add(result);
            }
        }
        return available;
    }
}
