package org.wagtaillug.node;

import java.time.Instant;
import org.wagtaillug.claim.Claims;
import org.wagtaillug.dispatch.KeyClaims;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Adapter from the dispatcher's {@link KeyClaims} to {@link Claims}. */
record KeyClaimsAdapter(Claims claims) implements KeyClaims {
    @Override
    public void requestClaim(
            RequestId request, IdempotencyKey key, String bodyDigest, Instant deadline, Instant now, Effects effects) {
        claims.requestClaim(request, key, bodyDigest, deadline, now, effects);
    }

    @Override
    public void recordOutcome(
            RequestId request, ResultCode code, RunState run, Payload output, Instant now, Effects effects) {
        claims.recordOutcome(request, code, run, output, now, effects);
    }

    @Override
    public void abandon(RequestId request, Instant now, Effects effects) {
        claims.abandon(request, now, effects);
    }
}
