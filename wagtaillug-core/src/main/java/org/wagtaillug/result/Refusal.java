package org.wagtaillug.result;

import java.time.Duration;

/**
 * An honest no.
 *
 * @param code why
 * @param run what is known of whether the request took effect
 * @param retryAfter when it is worth coming back; zero when it is not
 * @param message a sentence for the caller, which names the input, what was expected and the nearest valid choice
 */
public record Refusal(ResultCode code, RunState run, Duration retryAfter, String message) {
    /** A refusal of a request that had no effect and never will. */
    public static Refusal notRun(ResultCode code, Duration retryAfter, String message) {
        return new Refusal(code, RunState.NOT_RUN, retryAfter, message);
    }

    /** A refusal of a request of which nobody here can say whether it took effect. */
    public static Refusal unknown(ResultCode code, Duration retryAfter, String message) {
        return new Refusal(code, RunState.UNKNOWN, retryAfter, message);
    }
}
