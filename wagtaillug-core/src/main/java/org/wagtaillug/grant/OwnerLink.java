package org.wagtaillug.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;

/** What a holder has asked of one owner, and what was answered. */
final class OwnerLink {
    private static final int MOST_UNANSWERED = 256;

    private final TreeMap<Long, Instant> unanswered = new TreeMap<>();
    private long lastSequence;
    private long applied;
    private Instant lastAsk = Instant.MIN;
    private Optional<Instant> silentSince = Optional.empty();
    private boolean acknowledgementDue;
    private boolean hurried;

    /** Numbers an ask that is being sent. */
    long ask(Instant now) {
        lastSequence++;
        unanswered.put(lastSequence, now);
        if (unanswered.size() > MOST_UNANSWERED) {
            unanswered.pollFirstEntry();
        }
        boolean resumed = due(GrantHolder.OWNER_SILENCE, now);
        lastAsk = now;
        if (silentSince.isEmpty() || resumed) {
            silentSince = Optional.of(now);
        }
        acknowledgementDue = false;
        hurried = false;
        return lastSequence;
    }

    /** Takes in a reply; gives when the ask that it answers was sent, or nothing if the reply is old, doubled or foreign. */
    Optional<Instant> reply(long sequence) {
        Instant sent = unanswered.get(sequence);
        if (sent == null || sequence <= applied) {
            return Optional.empty();
        }
        applied = sequence;
        unanswered.headMap(sequence, true).clear();
        silentSince = unanswered.isEmpty()
                ? Optional.empty()
                : Optional.of(unanswered.firstEntry().getValue());
        return Optional.of(sent);
    }

    /** The holder itself was paused: the time that passed says nothing of the owner. */
    void forgetSilence() {
        silentSince = Optional.empty();
    }

    /** Whether asks have gone unanswered for a while. */
    boolean silent(Duration longerThan, Instant now) {
        return silentSince.isPresent() && !now.isBefore(silentSince.get().plus(longerThan));
    }

    /** Since when asks go unanswered. */
    Optional<Instant> silentSince() {
        return silentSince;
    }

    /** Notes that the owner waits to hear that a smaller allowance has been taken in. */
    void acknowledgementDue() {
        acknowledgementDue = true;
    }

    boolean isAcknowledgementDue() {
        return acknowledgementDue;
    }

    /** Notes that something new is wanted of the owner. */
    void hurry() {
        hurried = true;
    }

    boolean isHurried() {
        return hurried;
    }

    /** Whether at least a period has passed since the last ask. */
    boolean due(Duration period, Instant now) {
        return lastAsk.equals(Instant.MIN) || !now.isBefore(lastAsk.plus(period));
    }

    long applied() {
        return applied;
    }
}
