package org.wagtaillug.claim;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.log.LogRecord.ClaimRecord;

/** A request that waits for the decision whether it may run its key. */
final class PendingRequest {
    private final RequestId request;
    private final IdempotencyKey key;
    private final String bodyDigest;
    private final Instant arrivedAt;
    private final Instant deadline;
    private Optional<ClaimRecord.Claimed> claim = Optional.empty();

    PendingRequest(RequestId request, IdempotencyKey key, String bodyDigest, Instant arrivedAt, Instant deadline) {
        this.request = request;
        this.key = key;
        this.bodyDigest = bodyDigest;
        this.arrivedAt = arrivedAt;
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

    Instant arrivedAt() {
        return arrivedAt;
    }

    boolean isExpired(Instant now) {
        return !now.isBefore(deadline);
    }

    /** The claim appended for this request, as long as it has not been read back from the log. */
    Optional<ClaimRecord.Claimed> claim() {
        return claim;
    }

    void setClaim(ClaimRecord.Claimed appended) {
        claim = Optional.of(appended);
    }

    void clearClaim() {
        claim = Optional.empty();
    }
}
