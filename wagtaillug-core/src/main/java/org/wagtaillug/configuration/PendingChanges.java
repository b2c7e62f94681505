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
 * Changes that operators handed to this node and that are not answered yet. A change is answered by what was read of
 * it, never by the append's answer alone, since only the order of offsets says whether it won.
 */
final class PendingChanges {
    /** How long an uncertain append may still turn up while the stream can be read. */
    static final Duration TURN_UP = Duration.ofSeconds(5);

    /** The longest that an operator is kept waiting, also while the log cannot be read. */
    static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final ControlState state;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private final Set<Long> appends = new HashSet<>();

    PendingChanges(ControlState state) {
        this.state = state;
    }

    private static final class Pending {
        final Change change;
        final long append;
        final Instant submittedAt;
        long offset;
        Optional<Instant> uncertainSince = Optional.empty();

        Pending(Change change, long append, Instant submittedAt) {
            this.change = change;
            this.append = append;
            this.submittedAt = submittedAt;
        }
    }

    void submit(Change change, boolean complete, Instant now, Effects effects) {
        Pending known = pending.get(change.changeId());
        if (known != null && sameChange(known.change, change)) {
            return;
        }
        Optional<Refusal> fault = fault(change, complete, known != null);
        if (fault.isPresent()) {
            effects.add(new Effect.ChangeRefused(change.changeId(), fault.get()));
            return;
        }
        Optional<Judgement> judged = judgementOf(change);
        if (judged.isPresent()) {
            answer(judged.get(), effects);
            return;
        }
        long version = state.versionOf(change.key());
        if (change.base() < version) {
            // Versions only rise, so this change can never win: nothing is gained by an append.
            effects.add(new Effect.ChangeRefused(change.changeId(), crossed(change, version)));
            return;
        }
        long append = effects.nextAppend();
        appends.add(append);
        pending.put(change.changeId(), new Pending(change, append, now));
        effects.add(new Effect.AppendToLog(append, LogStream.CONTROL, change));
    }

    private Optional<Refusal> fault(Change change, boolean complete, boolean reused) {
        if (!complete) {
            return Optional.of(Refusal.notRun(
                    ResultCode.NOT_READY,
                    COME_BACK,
                    "change " + change.changeId() + " came before this node held the whole configuration; try again"));
        }
        boolean usedBefore = state.judgement(change.changeId())
                .filter(judgement -> !sameChange(judgement.change(), change))
                .isPresent();
        if (reused || usedBefore) {
            return Optional.of(malformed("change id " + change.changeId()
                    + " was used for another change; expected an id that is unique to the change"));
        }
        boolean knowsKey = !(change.body() instanceof Body.Removed) && !(change.body() instanceof Body.Unknown);
        if (knowsKey && !change.body().key().equals(change.key())) {
            return Optional.of(malformed("key " + change.key() + " does not fit its body; expected "
                    + change.body().key()));
        }
        int size = SnapshotWriter.estimate(new StateEntry(change.key(), change.base(), change.body()));
        if (size > SnapshotWriter.LARGEST_PART) {
            return Optional.of(Refusal.notRun(
                    ResultCode.TOO_LARGE,
                    Duration.ZERO,
                    "the body of " + change.key() + " takes about " + size + " bytes; expected at most "
                            + SnapshotWriter.LARGEST_PART));
        }
        return Optional.empty();
    }

    private static Refusal malformed(String message) {
        return Refusal.notRun(ResultCode.MALFORMED, Duration.ZERO, message);
    }

    /** Whether the append is one of a change; notes its place. Its record may have been read before. */
    boolean appended(long append, long offset) {
        if (!appends.remove(append)) {
            return false;
        }
        for (Pending waiting : pending.values()) {
            if (waiting.append == append) {
                waiting.offset = offset;
            }
        }
        return true;
    }

    /** Whether the append is one of a change; refuses the change if it surely is not on the log. */
    boolean appendFailed(long append, boolean mayTakeEffect, Instant now, Effects effects) {
        if (!appends.remove(append)) {
            return false;
        }
        Iterator<Pending> waiting = pending.values().iterator();
        while (waiting.hasNext()) {
            Pending change = waiting.next();
            if (change.append != append) {
                continue;
            }
            if (mayTakeEffect) {
                change.uncertainSince = Optional.of(now);
                continue;
            }
            waiting.remove();
            effects.add(new Effect.ChangeRefused(
                    change.change.changeId(),
                    Refusal.notRun(
                            ResultCode.LOG_UNAVAILABLE,
                            COME_BACK,
                            "the log service did not take change " + change.change.changeId() + "; try again")));
        }
        return true;
    }

    /** Answers all whose record has been read. */
    void settle(Effects effects) {
        Iterator<Pending> waiting = pending.values().iterator();
        while (waiting.hasNext()) {
            Pending change = waiting.next();
            Optional<Judgement> judged = judgementOf(change.change);
            if (judged.isPresent()) {
                waiting.remove();
                answer(judged.get(), effects);
                continue;
            }
            if (change.offset == 0 || change.offset > state.through()) {
                continue;
            }
            waiting.remove();
            settleAfterJump(change, effects);
        }
    }

    /** The state was taken over whole, past the record: only the key's version is left to judge by. */
    private void settleAfterJump(Pending change, Effects effects) {
        String id = change.change.changeId();
        long version = state.versionOf(change.change.key());
        if (version == change.offset) {
            effects.add(new Effect.ChangeAccepted(id, version));
            return;
        }
        if (version < change.offset) {
            effects.add(new Effect.ChangeRefused(id, crossed(change.change, version)));
            return;
        }
        effects.add(new Effect.ChangeRefused(
                id,
                unknown("change " + id + " stands at offset " + change.offset + ", but a newer one at " + version
                        + " hides whether it won; look at " + change.change.key())));
    }

    /**
     * Gives up those whose record never came.
     *
     * @param tailAskedAt when the newest read that reached the tail was sent
     */
    void onTick(Optional<Instant> tailAskedAt, Instant now, Effects effects) {
        Iterator<Pending> waiting = pending.values().iterator();
        while (waiting.hasNext()) {
            Pending change = waiting.next();
            if (change.offset == 0
                    && change.uncertainSince.isEmpty()
                    && !now.isBefore(change.submittedAt.plus(APPEND_TIMEOUT))) {
                change.uncertainSince = Optional.of(now);
            }
            if (!lost(change, tailAskedAt, now)) {
                continue;
            }
            waiting.remove();
            effects.add(new Effect.ChangeRefused(
                    change.change.changeId(),
                    unknown("nobody can say whether change " + change.change.changeId()
                            + " is on the log; look at the version of " + change.change.key()
                            + " before trying again")));
        }
    }

    private static boolean lost(Pending change, Optional<Instant> tailAskedAt, Instant now) {
        if (!now.isBefore(change.submittedAt.plus(LONGEST_WAIT))) {
            return true;
        }
        if (change.uncertainSince.isEmpty() || tailAskedAt.isEmpty()) {
            return false;
        }
        // The record may still be on its way to the log, so that one look at the tail proves nothing; and even after
        // the wait it may come, so that the answer is "unknown" and not "not run".
        return !tailAskedAt.get().isBefore(change.uncertainSince.get().plus(TURN_UP));
    }

    private Optional<Judgement> judgementOf(Change change) {
        return state.judgement(change.changeId()).filter(judgement -> sameChange(judgement.change(), change));
    }

    private static boolean sameChange(Change one, Change other) {
        return one.changeId().equals(other.changeId())
                && one.key().equals(other.key())
                && one.base() == other.base()
                && one.operator().equals(other.operator());
    }

    private static void answer(Judgement judgement, Effects effects) {
        Change change = judgement.change();
        if (judgement.won()) {
            effects.add(new Effect.ChangeAccepted(change.changeId(), judgement.offset()));
            return;
        }
        effects.add(new Effect.ChangeRefused(change.changeId(), crossed(change, judgement.version())));
    }

    private static Refusal crossed(Change change, long version) {
        return Refusal.notRun(
                ResultCode.CHANGE_CROSSED,
                Duration.ZERO,
                "change " + change.changeId() + " of " + change.key() + " was made from version " + change.base()
                        + ", but version " + version + " is in force; make it again from version " + version);
    }

    private static Refusal unknown(String message) {
        return Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, message);
    }
}
