package org.wagtaillug.claim;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.log.LogRecord.ClaimRecord;

/** A request that waits to hear whether it may run its key. */
final class Ask {
    private final RequestId request;
    private final IdempotencyKey key;
    private final String bodyDigest;
    private final Instant askedAt;
    private final Instant deadline;
    private Optional<ClaimRecord.Claimed> claim = Optional.empty();

    Ask(RequestId request, IdempotencyKey key, String bodyDigest, Instant askedAt, Instant deadline) {
        this.request = request;
        this.key = key;
        this.bodyDigest = bodyDigest;
        this.askedAt = askedAt;
        this.deadline = deadline;
    }

    RequestId request() {
        return request;
    }

    IdempotencyKey key() {
        return key;
    }

    String bodyDigest() {
        return bodyDigest;
    }

    Instant askedAt() {
        return askedAt;
    }

    boolean expired(Instant now) {
        return !now.isBefore(deadline);
    }

    /** The claim that it has made and not yet read on the log. */
    Optional<ClaimRecord.Claimed> claim() {
        return claim;
    }

    void claimMade(ClaimRecord.Claimed made) {
        claim = Optional.of(made);
    }

    void claimGone() {
        claim = Optional.empty();
    }
}
