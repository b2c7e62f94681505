package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;

/**
 * Which keys are of an age at which a claim can tell whether they ran before.
 *
 * <p>The log drops old records. A key whose first claim was dropped would look new and run a second time, so a key is
 * refused while its first claim, if there was one, is surely still held: a claim is never made before the key's time of
 * issue, but for callers' clocks that run ahead by no more than {@link #LARGEST_LEAD}.
 */
final class KeyAge {
    /** How far ahead of ours a caller's clock may be. */
    static final Duration LARGEST_LEAD = Duration.ofMinutes(5);

    /** The difference between the clocks of nodes and log service, and the time a claim takes, are well below this. */
    static final Duration MARGIN = Duration.ofMinutes(1);

    private final Duration longest;

    KeyAge(Duration retention) {
        this.longest = retention.minus(LARGEST_LEAD).minus(MARGIN);
    }

    boolean tooOld(Instant issuedAt, Instant completeFrom, Instant now) {
        return issuedAt.isBefore(now.minus(longest)) || issuedAt.isBefore(completeFrom);
    }

    boolean tooNew(Instant issuedAt, Instant now) {
        return issuedAt.isAfter(now.plus(LARGEST_LEAD));
    }
}
