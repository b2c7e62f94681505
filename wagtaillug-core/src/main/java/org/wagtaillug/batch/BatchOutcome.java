package org.wagtaillug.batch;

import java.time.Duration;
import java.util.List;

/** The outcome of an order. */
public sealed interface BatchOutcome {
    /**
     * All items were computed.
     *
     * @param results the results, indexed by the number of the item
     */
    record Made(List<StepResult> results) implements BatchOutcome {
        /** Makes a defensive copy of the list. */
        public Made {
            results = List.copyOf(results);
        }
    }

    /**
     * The order was refused or failed.
     *
     * @param reason why
     * @param retryAfter how long to wait before a retry; zero if the reason is not a lack of capacity
     */
    record NotMade(Reason reason, Duration retryAfter) implements BatchOutcome {}

    /** Why an order was refused or failed. */
    enum Reason {
        /** The queue delay exceeds the time that the request has left. */
        OVERLOADED,
        /** The deadline cannot be met any more, or the order was withdrawn. */
        LATE,
        /** An input result no longer exists. */
        INPUTS_GONE,
        /** Calls failed more often than the retry limit allows. */
        FAILED,
        /** The pool has no usable server. */
        NO_UPSTREAM
    }
}
