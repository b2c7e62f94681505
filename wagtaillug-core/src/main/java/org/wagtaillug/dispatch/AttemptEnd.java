package org.wagtaillug.dispatch;

import org.wagtaillug.result.Payload;

/** How an attempt ended. */
public sealed interface AttemptEnd {
    /**
     * The complete response was received, with matching ids.
     *
     * @param output the output of the stage
     */
    record Completed(Payload output) implements AttemptEnd {}

    /** The upstream was overloaded and refused the request before doing any work. */
    record Overloaded() implements AttemptEnd {}

    /**
     * The upstream rejected the request as invalid; any other upstream would reject it too.
     *
     * @param message the error message of the upstream
     */
    record Rejected(String message) implements AttemptEnd {}

    /**
     * The connection could not be made, broke or timed out, or the response did not belong to this attempt.
     *
     * @param byteLeft whether a byte of the request may have reached the upstream
     * @param message a description of the failure
     */
    record Failed(boolean byteLeft, String message) implements AttemptEnd {}

    /** It was not sent before its send deadline; see {@link Attempt#sendDeadline()}. */
    record NotStarted() implements AttemptEnd {}
}
