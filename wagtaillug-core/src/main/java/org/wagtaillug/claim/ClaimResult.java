package org.wagtaillug.claim;

import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** The result of a request to run an idempotency key. Each request gets at most one. */
public sealed interface ClaimResult {
    /** The request that asked to run the key. */
    RequestId request();

    /**
     * The request's claim won the key. The request must either be sent exactly once and then be reported to {@link
     * Claims#settled}, or never be sent and be reported to {@link Claims#abandon}.
     *
     * @param request the request
     * @param claimId the id of the claim that won
     */
    record Acquired(RequestId request, String claimId) implements ClaimResult {}

    /**
     * Another request already ran the key and recorded its outcome, which has to be returned to the caller.
     *
     * @param request the request
     * @param code how the other request ended; {@link ResultCode#TOO_LARGE} if its response was too large to be
     *     recorded
     * @param run whether the other request took effect
     * @param output the recorded response
     */
    record Recorded(RequestId request, ResultCode code, RunState run, Payload output) implements ClaimResult {}

    /**
     * The request does not run, now or later. The run state of the refusal tells what is known about the key: {@code
     * NOT_RUN} means that this request never ran and that this node knows of no claim by another request.
     *
     * @param request the request
     * @param refusal why it was refused
     */
    record Refused(RequestId request, Refusal refusal) implements ClaimResult {}
}
