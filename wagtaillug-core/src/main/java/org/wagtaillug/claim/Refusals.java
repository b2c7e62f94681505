package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Builds the refusals of requests with an idempotency key, including the message for the caller. */
final class Refusals {
    /**
     * A request that arrives within this time after its key was issued is taken for the first attempt with that key.
     */
    static final Duration FIRST_ATTEMPT_WINDOW = Duration.ofSeconds(2);

    private static final Duration RETRY_SOON = Duration.ofSeconds(1);
    private static final Duration RETRY_LATER = Duration.ofSeconds(5);
    private static final Duration NO_RETRY = Duration.ZERO;

    private Refusals() {}

    /**
     * The claim cannot be recorded. This request was not run, but while the log cannot be read, this node does not know
     * whether an earlier attempt with the same key ran at another node. A key that was issued just now cannot have had
     * an earlier attempt; for an older key "not run" could be false.
     */
    static Refusal logUnavailable(IdempotencyKey key, Instant arrivedAt) {
        return new Refusal(
                ResultCode.LOG_UNAVAILABLE,
                runStateOfUnclaimed(key, arrivedAt),
                RETRY_SOON,
                "the log service cannot be reached to record key " + key.identity()
                        + "; this request was not and will not be run, but an earlier one"
                        + " with the key may have been; retry with the same key");
    }

    private static RunState runStateOfUnclaimed(IdempotencyKey key, Instant arrivedAt) {
        boolean firstAttempt = arrivedAt.isBefore(key.issuedAt().plus(FIRST_ATTEMPT_WINDOW));
        return firstAttempt ? RunState.NOT_RUN : RunState.UNKNOWN;
    }

    /**
     * The node shuts down before the claim was read back. The run state follows the same rule as in {@link
     * #logUnavailable}.
     */
    static Refusal shuttingDown(IdempotencyKey key, Instant arrivedAt) {
        return new Refusal(
                ResultCode.SHUTTING_DOWN,
                runStateOfUnclaimed(key, arrivedAt),
                RETRY_SOON,
                "the node is shutting down and key " + key.identity()
                        + " was not claimed; this request was not and will not be run, but an earlier one with the key may"
                        + " have been; retry with the same key on another node");
    }

    static Refusal tooOld(IdempotencyKey key) {
        return Refusal.unknown(
                ResultCode.KEY_TOO_OLD,
                NO_RETRY,
                "key " + key.identity() + ", issued at " + key.issuedAt()
                        + ", is older than the records that the log retains; this request was not run;"
                        + " it is unknown whether an earlier one with the key was");
    }

    static Refusal tooNew(IdempotencyKey key) {
        return Refusal.notRun(
                ResultCode.MALFORMED,
                NO_RETRY,
                "key " + key.identity() + " was issued at " + key.issuedAt()
                        + ", too far ahead of this node's clock; expected at most "
                        + KeyAgeLimits.MAX_CLOCK_LEAD.toMinutes()
                        + " minutes ahead");
    }

    static Refusal deadlinePassed(IdempotencyKey key) {
        return Refusal.notRun(
                ResultCode.DEADLINE_PASSED,
                NO_RETRY,
                "the deadline of the request with key " + key.identity() + " had passed when it arrived");
    }

    static Refusal keyReused(IdempotencyKey key) {
        return Refusal.notRun(
                ResultCode.KEY_REUSED,
                NO_RETRY,
                "key " + key.identity()
                        + " was already used with a different template or body; expected a unique key per operation");
    }

    static Refusal inProgress(IdempotencyKey key) {
        return Refusal.unknown(
                ResultCode.KEY_IN_PROGRESS,
                RETRY_SOON,
                "another request with key " + key.identity() + " is in progress; its outcome is not known yet");
    }

    static Refusal holderNotAMember(IdempotencyKey key, NodeId holder) {
        return Refusal.unknown(
                ResultCode.OUTCOME_UNKNOWN,
                RETRY_LATER,
                "a request with key " + key.identity() + " was in progress on node " + holder
                        + ", which is no longer a member; whether it took effect is unknown");
    }
}
