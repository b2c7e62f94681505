package org.wagtaillug.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogRecord.ClaimRecord;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/**
 * What the claims stream says of each key: a fold over its records in order of offset, the same at every node.
 *
 * <p>The first claim of a key wins. After the winner's own word that it never sent and never will, the next claim of the
 * key wins; claims that lost before that stay lost. Outcomes and abandonments count only under the winner's claim id.
 */
final class ClaimFold {
    /**
     * The claim that holds a key.
     *
     * @param claimId names the claim
     * @param claimer the node that made it
     * @param bodyDigest what the key was used for
     * @param time when the log service took the claim
     * @param state what became of it
     */
    record Holder(String claimId, NodeId claimer, String bodyDigest, Instant time, State state) {
        private Holder with(State next) {
            return new Holder(claimId, claimer, bodyDigest, time, next);
        }
    }

    /** What became of a winning claim. */
    sealed interface State {
        /** The holder may send, or has sent, or is dead. */
        record Running() implements State {}

        /** The holder has recorded its outcome. */
        record Settled(ResultCode code, RunState run, Payload output) implements State {}

        /** The holder never sent and never will. */
        record Abandoned() implements State {}
    }

    private static final State RUNNING = new State.Running();
    private static final State ABANDONED = new State.Abandoned();

    private final Duration retention;
    /** In the order of their claims, so that the oldest are found first. */
    private final Map<String, Holder> holders = new LinkedHashMap<>();

    private Instant newest = Instant.MIN;

    ClaimFold(Duration retention) {
        this.retention = retention;
    }

    /** Takes in the next record; tells whether it changed anything. */
    boolean apply(ClaimRecord record, Instant time) {
        Holder holder = holders.get(record.key());
        return switch (record) {
            case ClaimRecord.Claimed claimed -> claim(holder, claimed, time);
            case ClaimRecord.Settled settled ->
                finish(holder, settled, new State.Settled(settled.code(), settled.run(), settled.output()));
            case ClaimRecord.Abandoned abandoned -> finish(holder, abandoned, ABANDONED);
        };
    }

    /** The claim that won a key last, also one that was abandoned; empty if none is known. */
    Optional<Holder> holder(String key) {
        return Optional.ofNullable(holders.get(key));
    }

    /** How many keys are held in memory. */
    int size() {
        return holders.size();
    }

    /** Forgets keys that were claimed longer ago than the log keeps records, by the log's own clock. */
    void forgetOld(Instant logTime) {
        if (logTime.isAfter(newest)) {
            newest = logTime;
        }
        Instant horizon = newest.minus(retention);
        Iterator<Holder> oldest = holders.values().iterator();
        while (oldest.hasNext() && oldest.next().time().isBefore(horizon)) {
            oldest.remove();
        }
    }

    /** Forgets everything: records between what was read and what comes next are lost. */
    void clear() {
        holders.clear();
    }

    private boolean claim(Holder holder, ClaimRecord.Claimed claimed, Instant time) {
        if (holder != null && !(holder.state() instanceof State.Abandoned)) {
            return false;
        }
        holders.remove(claimed.key());
        Holder winner = new Holder(claimed.claimId(), claimed.claimer(), claimed.bodyDigest(), time, RUNNING);
        holders.put(claimed.key(), winner);
        return true;
    }

    private boolean finish(Holder holder, ClaimRecord record, State end) {
        if (holder == null || !holder.claimId().equals(record.claimId())) {
            return false;
        }
        if (!(holder.state() instanceof State.Running)) {
            return false;
        }
        holders.put(record.key(), holder.with(end));
        return true;
    }
}
