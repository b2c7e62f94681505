package org.wagtaillug.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.contract.Body;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

/**
 * The changes that operators submitted to this node and that have not been answered yet. A change is answered only
 * after its record has been read, never on the append's acknowledgement alone, because only the order of offsets
 * decides whether it takes effect.
 */
final class PendingChanges {
    /** How long an append with an unknown result may still appear on the log while the stream can be read. */
    static final Duration UNCERTAIN_APPEND_WAIT = Duration.ofSeconds(5);

    /** Maximum time until an operator gets an answer, even while the log cannot be read. */
    static final Duration MAX_WAIT = Duration.ofSeconds(30);

    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlState state;
    private final Map<String, PendingChange> pending = new LinkedHashMap<>();
    private final Set<Long> appends = new HashSet<>();

    PendingChanges(ControlState state) {
        this.state = state;
    }

    private static final class PendingChange {
        final Change change;
        final long append;
        final Instant submittedAt;
        long offset;
        Optional<Instant> uncertainSince = Optional.empty();

        PendingChange(Change change, long append, Instant submittedAt) {
            this.change = change;
            this.append = append;
            this.submittedAt = submittedAt;
        }
    }

    void submit(Change change, boolean complete, Instant now, Effects effects) {
        PendingChange existing = pending.get(change.changeId());
        if (existing != null && sameChange(existing.change, change)) {
            return;
        }
        Optional<Refusal> problem = validate(change, complete, existing != null);
        if (problem.isPresent()) {
            effects.add(new Effect.ChangeRefused(change.changeId(), problem.get()));
            return;
        }
        Optional<ChangeOutcome> outcome = outcomeOf(change);
        if (outcome.isPresent()) {
            answer(outcome.get(), effects);
            return;
        }
        long version = state.versionOf(change.key());
        if (change.base() < version) {
            // Versions only increase, so this change can never take effect and is not appended.
            effects.add(new Effect.ChangeRefused(change.changeId(), versionConflict(change, version)));
            return;
        }
        long append = effects.nextAppend();
        appends.add(append);
        pending.put(change.changeId(), new PendingChange(change, append, now));
        effects.add(new Effect.AppendToLog(append, LogStream.CONTROL, change));
    }

    private Optional<Refusal> validate(Change change, boolean complete, boolean idInUse) {
        if (!complete) {
            return Optional.of(Refusal.notRun(
                    ResultCode.NOT_READY,
                    RETRY_AFTER,
                    "change " + change.changeId()
                            + " was submitted before this node had read the complete configuration; retry later"));
        }
        boolean idUsedBefore = state.changeOutcome(change.changeId())
                .filter(outcome -> !sameChange(outcome.change(), change))
                .isPresent();
        if (idInUse || idUsedBefore) {
            return Optional.of(malformed("change id " + change.changeId()
                    + " was used for another change; expected an id that is unique to the change"));
        }
        boolean bodyNamesKey = !(change.body() instanceof Body.Removed) && !(change.body() instanceof Body.Unknown);
        if (bodyNamesKey && !change.body().key().equals(change.key())) {
            return Optional.of(malformed("key " + change.key() + " does not match its body; expected "
                    + change.body().key()));
        }
        int size = SnapshotWriter.estimatedBytes(new StateEntry(change.key(), change.base(), change.body()));
        if (size > SnapshotWriter.MAX_PART_BYTES) {
            return Optional.of(Refusal.notRun(
                    ResultCode.TOO_LARGE,
                    Duration.ZERO,
                    "the body of " + change.key() + " takes about " + size + " bytes; expected at most "
                            + SnapshotWriter.MAX_PART_BYTES));
        }
        return Optional.empty();
    }

    private static Refusal malformed(String message) {
        return Refusal.notRun(ResultCode.MALFORMED, Duration.ZERO, message);
    }

    /**
     * Handles the acknowledgement of an append and notes its offset. Returns whether it was an append of a change. The
     * record may already have been read.
     */
    boolean onAppended(long append, long offset) {
        if (!appends.remove(append)) {
            return false;
        }
        for (PendingChange candidate : pending.values()) {
            if (candidate.append == append) {
                candidate.offset = offset;
            }
        }
        return true;
    }

    /**
     * Handles a failed append and refuses the change if it is certain not to be on the log. Returns whether it was an
     * append of a change.
     */
    boolean onAppendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        if (!appends.remove(append)) {
            return false;
        }
        Iterator<PendingChange> iterator = pending.values().iterator();
        while (iterator.hasNext()) {
            PendingChange waiting = iterator.next();
            if (waiting.append != append) {
                continue;
            }
            if (mayTakeEffect) {
                waiting.uncertainSince = Optional.of(now);
                continue;
            }
            iterator.remove();
            effects.add(new Effect.ChangeRefused(
                    waiting.change.changeId(),
                    Refusal.notRun(
                            ResultCode.LOG_UNAVAILABLE,
                            RETRY_AFTER,
                            "the log service did not accept change " + waiting.change.changeId() + "; retry later")));
        }
        return true;
    }

    /** Answers all changes whose record has been read. */
    void answerResolved(Effects effects) {
        Iterator<PendingChange> iterator = pending.values().iterator();
        while (iterator.hasNext()) {
            PendingChange waiting = iterator.next();
            Optional<ChangeOutcome> outcome = outcomeOf(waiting.change);
            if (outcome.isPresent()) {
                iterator.remove();
                answer(outcome.get(), effects);
                continue;
            }
            if (waiting.offset == 0 || waiting.offset > state.through()) {
                continue;
            }
            iterator.remove();
            answerFromKeyVersion(waiting, effects);
        }
    }

    /**
     * Answers a change whose record was skipped because a complete state was adopted: only the version of its key tells
     * whether it took effect.
     */
    private void answerFromKeyVersion(PendingChange waiting, Effects effects) {
        String id = waiting.change.changeId();
        long version = state.versionOf(waiting.change.key());
        if (version == waiting.offset) {
            effects.add(new Effect.ChangeAccepted(id, version));
            return;
        }
        if (version < waiting.offset) {
            effects.add(new Effect.ChangeRefused(id, versionConflict(waiting.change, version)));
            return;
        }
        effects.add(new Effect.ChangeRefused(
                id,
                unknown("change " + id + " is at offset " + waiting.offset + ", but a newer change at offset " + version
                        + " hides whether it took effect; check " + waiting.change.key())));
    }

    /**
     * Answers the changes whose record never appeared.
     *
     * @param tailReadSentAt when the newest read that reached the tail was sent
     */
    void onTick(Optional<Instant> tailReadSentAt, Instant now, Effects effects) {
        Iterator<PendingChange> iterator = pending.values().iterator();
        while (iterator.hasNext()) {
            PendingChange waiting = iterator.next();
            if (waiting.offset == 0
                    && waiting.uncertainSince.isEmpty()
                    && !now.isBefore(waiting.submittedAt.plus(APPEND_TIMEOUT))) {
                waiting.uncertainSince = Optional.of(now);
            }
            if (!isLost(waiting, tailReadSentAt, now)) {
                continue;
            }
            iterator.remove();
            effects.add(new Effect.ChangeRefused(
                    waiting.change.changeId(),
                    unknown("it is unknown whether change " + waiting.change.changeId()
                            + " is on the log; check the version of " + waiting.change.key()
                            + " before you retry")));
        }
    }

    private static boolean isLost(PendingChange waiting, Optional<Instant> tailReadSentAt, Instant now) {
        if (!now.isBefore(waiting.submittedAt.plus(MAX_WAIT))) {
            return true;
        }
        if (waiting.uncertainSince.isEmpty() || tailReadSentAt.isEmpty()) {
            return false;
        }
        // The record may still be in flight to the log, so a single read of the tail does not prove that it is lost. It
        // may appear even after the wait, so the answer is "unknown" and not "not run".
        return !tailReadSentAt.get().isBefore(waiting.uncertainSince.get().plus(UNCERTAIN_APPEND_WAIT));
    }

    private Optional<ChangeOutcome> outcomeOf(Change change) {
        return state.changeOutcome(change.changeId()).filter(outcome -> sameChange(outcome.change(), change));
    }

    private static boolean sameChange(Change one, Change other) {
        return one.changeId().equals(other.changeId())
                && one.key().equals(other.key())
                && one.base() == other.base()
                && one.operator().equals(other.operator());
    }

    private static void answer(ChangeOutcome outcome, Effects effects) {
        Change change = outcome.change();
        if (outcome.applied()) {
            effects.add(new Effect.ChangeAccepted(change.changeId(), outcome.offset()));
            return;
        }
        effects.add(new Effect.ChangeRefused(change.changeId(), versionConflict(change, outcome.version())));
    }

    private static Refusal versionConflict(Change change, long version) {
        return Refusal.notRun(
                ResultCode.CHANGE_CROSSED,
                Duration.ZERO,
                "change " + change.changeId() + " of " + change.key() + " is based on version " + change.base()
                        + ", but version " + version + " is in force; submit it again based on version " + version);
    }

    private static Refusal unknown(String message) {
        return Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, message);
    }
}
