package org.wagtaillug.standin.load;

/** The outcome of a request from the caller's point of view. */
sealed interface Outcome {
    /**
     * The request got a complete answer.
     *
     * @param inTime whether the answer was complete before the deadline
     */
    record Served(boolean inTime) implements Outcome {}

    /**
     * The request was refused.
     *
     * @param code the result code, or {@code http-} and the status if the answer contains none
     * @param run the run state in the refusal: {@code run}, {@code not-run} or {@code unknown}; empty if absent
     * @param retryAfterMillis the delay after which a retry is allowed; 0 if the refusal contains none
     */
    record Refused(String code, String run, long retryAfterMillis) implements Outcome {
        /** Returns whether the refusal states that nothing has run. */
        boolean notRun() {
            return run.equals("not-run");
        }
    }

    /**
     * The request got no usable answer.
     *
     * @param reason a short text that is identical for the same cause
     */
    record Lost(String reason) implements Outcome {}
}
