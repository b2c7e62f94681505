package org.wagtaillug.standin.load;

/** What came of one request, as its caller sees it. */
sealed interface Outcome {
    /**
     * The whole answer came.
     *
     * @param inTime whether it came before the deadline
     */
    record Served(boolean inTime) implements Outcome {}

    /**
     * It was refused.
     *
     * @param code the result code, or {@code http-} and the status when the answer names none
     * @param run whether it has run, in the refusal's own word: {@code run}, {@code not-run} or {@code unknown}; empty if
     *     it does not say
     * @param retryAfterMillis after which time it may be tried again; 0 if the refusal names none
     */
    record Refused(String code, String run, long retryAfterMillis) implements Outcome {
        /** Tells whether the refusal says that nothing has run. */
        boolean notRun() {
            return run.equals("not-run");
        }
    }

    /**
     * No answer, or one that cannot be used.
     *
     * @param reason in a few words, the same for the same cause
     */
    record Lost(String reason) implements Outcome {}
}
