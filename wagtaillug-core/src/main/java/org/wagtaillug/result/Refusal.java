package org.wagtaillug.result;

import java.time.Duration;

/**
 * A negative response to a caller.
 *
 * @param code the reason
 * @param run what is known about whether the request took effect
 * @param retryAfter the time after which a retry may succeed; zero if a retry will not help
 * @param message an error message for the caller that states the input, the expected value and the closest valid
 *     alternative
 */
public record Refusal(ResultCode code, RunState run, Duration retryAfter, String message) {
    /** Creates a refusal of a request that had no effect and never will. */
    public static Refusal notRun(ResultCode code, Duration retryAfter, String message) {
        return new Refusal(code, RunState.NOT_RUN, retryAfter, message);
    }

    /** Creates a refusal of a request that may or may not have taken effect. */
    public static Refusal unknown(ResultCode code, Duration retryAfter, String message) {
        return new Refusal(code, RunState.UNKNOWN, retryAfter, message);
    }
}
