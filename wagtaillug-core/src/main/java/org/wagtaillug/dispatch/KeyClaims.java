package org.wagtaillug.dispatch;

import java.time.Instant;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Acquires the claim of an idempotency key before a non-idempotent request is sent, and records its outcome. */
public interface KeyClaims {
    /** Requests the claim; the result arrives later through one of the dispatcher's {@code onClaim...} methods. */
    void requestClaim(
            RequestId request, IdempotencyKey key, String bodyDigest, Instant deadline, Instant now, Effects effects);

    /** Records the outcome of a request that the holder of the claim has sent. */
    void recordOutcome(RequestId request, ResultCode code, RunState run, Payload output, Instant now, Effects effects);

    /** Releases the claim: its holder has not sent the request and never will. */
    void abandon(RequestId request, Instant now, Effects effects);
}
