package org.wagtaillug.claim;

import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** What came of asking to run a key. Each ask gets at most one. */
public sealed interface Verdict {
    /** The request that asked. */
    RequestId request();

    /**
     * The request holds the key: send now, exactly once, then report to {@link Claims#settled}; or never send and say so
     * with {@link Claims#abandon}.
     *
     * @param request which
     * @param claimId of the claim that won
     */
    record Won(RequestId request, String claimId) implements Verdict {}

    /**
     * The key was run by another request, which ended like this. Its outcome is to be repeated.
     *
     * @param request which
     * @param code how the other one ended; {@link ResultCode#TOO_LARGE} if its answer was too large to be kept
     * @param run whether it took effect
     * @param output its answer
     */
    record Recorded(RequestId request, ResultCode code, RunState run, Payload output) implements Verdict {}

    /**
     * The request does not run, now or later. Its run state tells what is known of the key: {@code NOT_RUN} says that
     * this request never ran and that no claim of another is known here.
     *
     * @param request which
     * @param refusal why
     */
    record Refused(RequestId request, Refusal refusal) implements Verdict {}
}
