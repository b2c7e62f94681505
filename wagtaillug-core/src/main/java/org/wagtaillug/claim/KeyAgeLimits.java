package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;

/**
 * The range of issue times for which the claims stream can tell whether a key ran before.
 *
 * <p>The log drops records after its retention period. A key whose first claim was dropped would look new and run a
 * second time, so a key is accepted only while its first claim, if there is one, is certain to be retained. A claim is
 * never older than its key's issue time, except when the caller's clock runs ahead, by at most {@link #MAX_CLOCK_LEAD}.
 */
final class KeyAgeLimits {
    /** Maximum time by which a caller's clock may be ahead of this node's. */
    static final Duration MAX_CLOCK_LEAD = Duration.ofMinutes(5);

    /** Safety margin; well above the clock skew between nodes and the log service plus the time that a claim takes. */
    static final Duration SAFETY_MARGIN = Duration.ofMinutes(1);

    private final Duration maxAge;

    KeyAgeLimits(Duration retention) {
        this.maxAge = retention.minus(MAX_CLOCK_LEAD).minus(SAFETY_MARGIN);
    }

    boolean tooOld(Instant issuedAt, Instant completeFrom, Instant now) {
        return issuedAt.isBefore(now.minus(maxAge)) || issuedAt.isBefore(completeFrom);
    }

    boolean tooNew(Instant issuedAt, Instant now) {
        return issuedAt.isAfter(now.plus(MAX_CLOCK_LEAD));
    }
}
