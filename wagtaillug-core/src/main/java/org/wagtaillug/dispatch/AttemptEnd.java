package org.wagtaillug.dispatch;

import org.wagtaillug.result.Payload;

/** How an attempt ended. */
public sealed interface AttemptEnd {
    /**
     * The whole answer came, with the right ids.
     *
     * @param output the stage's output
     */
    record Completed(Payload output) implements AttemptEnd {}

    /** The upstream refused before it did anything: overloaded. */
    record Overloaded() implements AttemptEnd {}

    /**
     * The upstream says that the request is wrong; another would say so too.
     *
     * @param message what it said
     */
    record Rejected(String message) implements AttemptEnd {}

    /**
     * The connection failed, broke or fell silent, or the answer was no answer to this attempt.
     *
     * @param byteLeft whether a byte of the request may have reached the upstream
     * @param message what happened
     */
    record Failed(boolean byteLeft, String message) implements AttemptEnd {}

    /** It was not sent in time: see {@link Attempt#startBefore()}. */
    record NotStarted() implements AttemptEnd {}
}
