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
     * @param notRun whether the refusal says that nothing has run
     */
    record Refused(String code, boolean notRun) implements Outcome {}

    /**
     * No answer, or one that cannot be used.
     *
     * @param reason in a few words, the same for the same cause
     */
    record Lost(String reason) implements Outcome {}
}
