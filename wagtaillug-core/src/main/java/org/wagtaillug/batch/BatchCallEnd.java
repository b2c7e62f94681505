package org.wagtaillug.batch;

import java.util.List;

/** The outcome of a call to a stage server. */
public sealed interface BatchCallEnd {
    /**
     * The server answered.
     *
     * @param answers one for each item, in order
     */
    record Answered(List<ItemAnswer> answers) implements BatchCallEnd {}

    /** The server refused the call without running it. */
    record NotRun() implements BatchCallEnd {}

    /**
     * The call failed without a readable answer.
     *
     * @param reason the cause, for the log
     */
    record Broken(String reason) implements BatchCallEnd {}

    /**
     * No byte of the call was sent.
     *
     * @param reason the cause, for the log
     */
    record Unsent(String reason) implements BatchCallEnd {}

    /** The outcome of one item. */
    sealed interface ItemAnswer {
        /**
         * The item was computed.
         *
         * @param handle the server's name for the result
         */
        record Made(String handle) implements ItemAnswer {}

        /** The deadline had passed before the server started it. */
        record Late() implements ItemAnswer {}

        /** An input result no longer exists. */
        record InputsGone() implements ItemAnswer {}

        /** The server has no capacity to store its result. */
        record NoRoom() implements ItemAnswer {}

        /** The server failed to compute it. */
        record Failed() implements ItemAnswer {}
    }
}
