package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;

/** The grant requests that a holder has sent to one owner, and the state of the replies. */
final class OwnerLink {
    private static final int MAX_UNANSWERED = 256;

    private final TreeMap<Long, Instant> unanswered = new TreeMap<>();
    private long lastSequence;
    private long applied;
    private Instant lastRequest = Instant.MIN;
    private Optional<Instant> unansweredSince = Optional.empty();
    private boolean acknowledgementDue;
    private boolean expedited;

    /** Creates a link whose first request has the number after the given one. */
    OwnerLink(long lastSequence) {
        this.lastSequence = lastSequence;
    }

    /** Records a grant request that is being sent and returns its sequence number. */
    long onRequestSent(Instant now) {
        lastSequence++;
        unanswered.put(lastSequence, now);
        if (unanswered.size() > MAX_UNANSWERED) {
            unanswered.pollFirstEntry();
        }
        boolean resumed = due(GrantHolder.OWNER_TIMEOUT, now);
        lastRequest = now;
        if (unansweredSince.isEmpty() || resumed) {
            unansweredSince = Optional.of(now);
        }
        acknowledgementDue = false;
        expedited = false;
        return lastSequence;
    }

    /**
     * Records a reply. Returns when the request that it answers was sent, or empty if the reply is outdated, a
     * duplicate or unexpected.
     */
    Optional<Instant> onReply(long sequence) {
        Instant sent = unanswered.get(sequence);
        if (sent == null || sequence <= applied) {
            return Optional.empty();
        }
        applied = sequence;
        unanswered.headMap(sequence, true).clear();
        unansweredSince = unanswered.isEmpty()
                ? Optional.empty()
                : Optional.of(unanswered.firstEntry().getValue());
        return Optional.of(sent);
    }

    /** Resets the silence of the owner after the holder itself was paused: the owner could not be heard meanwhile. */
    void resetSilence() {
        unansweredSince = Optional.empty();
    }

    /** Whether grant requests have been unanswered for at least this long. */
    boolean silent(Duration timeout, Instant now) {
        return unansweredSince.isPresent()
                && !now.isBefore(unansweredSince.get().plus(timeout));
    }

    /** Since when grant requests have been unanswered. */
    Optional<Instant> unansweredSince() {
        return unansweredSince;
    }

    /** Records that a reply lowered an allowance, and that the owner waits for the acknowledgement. */
    void acknowledgementDue() {
        acknowledgementDue = true;
    }

    boolean isAcknowledgementDue() {
        return acknowledgementDue;
    }

    /** Records that the demand has risen, so that the next request is sent as early as possible. */
    void expedite() {
        expedited = true;
    }

    boolean isExpedited() {
        return expedited;
    }

    /** Whether at least this long has passed since the last grant request. */
    boolean due(Duration period, Instant now) {
        return lastRequest.equals(Instant.MIN) || !now.isBefore(lastRequest.plus(period));
    }

    long applied() {
        return applied;
    }
}
