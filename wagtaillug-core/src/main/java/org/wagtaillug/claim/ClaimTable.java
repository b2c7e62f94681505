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
 * The current holder of each key, derived by applying the records of the claims stream in order of offset. Every node
 * that has read to the same offset has the same table.
 *
 * <p>The first claim of a key wins. If the winner records that it never sent the request and never will, the next claim
 * of the key wins; claims that were lost before that stay lost. Outcomes and abandonments count only under the winner's
 * claim id.
 */
final class ClaimTable {
    /**
     * The claim that holds a key.
     *
     * @param claimId id of the claim
     * @param claimer the node that made the claim
     * @param bodyDigest digest of the template and body that the key was used with
     * @param claimedAt when the log service accepted the claim
     * @param state the state of the claim
     */
    record Holder(String claimId, NodeId claimer, String bodyDigest, Instant claimedAt, State state) {
        private Holder withState(State next) {
            return new Holder(claimId, claimer, bodyDigest, claimedAt, next);
        }
    }

    /** The state of a winning claim. */
    sealed interface State {
        /** The holder may still send, has sent, or has crashed. */
        record Running() implements State {}

        /** The holder has recorded its outcome. */
        record Settled(ResultCode code, RunState run, Payload output) implements State {}

        /** The holder never sent the request and never will. */
        record Abandoned() implements State {}
    }

    private static final State RUNNING = new State.Running();
    private static final State ABANDONED = new State.Abandoned();

    private final Duration retention;
    /** Ordered by claim time, so that the oldest come first. */
    private final Map<String, Holder> holders = new LinkedHashMap<>();

    private Instant latestLogTime = Instant.MIN;

    ClaimTable(Duration retention) {
        this.retention = retention;
    }

    /** Applies the next record. Returns whether it changed the table. */
    boolean apply(ClaimRecord record, Instant claimedAt) {
        Holder holder = holders.get(record.key());
        return switch (record) {
            case ClaimRecord.Claimed claimed -> claim(holder, claimed, claimedAt);
            case ClaimRecord.Settled settled ->
                finish(holder, settled, new State.Settled(settled.code(), settled.run(), settled.output()));
            case ClaimRecord.Abandoned abandoned -> finish(holder, abandoned, ABANDONED);
        };
    }

    /** The latest claim that won the key, including an abandoned one; empty if none is known. */
    Optional<Holder> holder(String key) {
        return Optional.ofNullable(holders.get(key));
    }

    int size() {
        return holders.size();
    }

    /** Evicts keys that were claimed longer ago than the log's retention, measured by the log service's clock. */
    void evictExpired(Instant logTime) {
        if (logTime.isAfter(latestLogTime)) {
            latestLogTime = logTime;
        }
        Instant cutoff = latestLogTime.minus(retention);
        Iterator<Holder> oldest = holders.values().iterator();
        while (oldest.hasNext() && oldest.next().claimedAt().isBefore(cutoff)) {
            oldest.remove();
        }
    }

    /** Clears the table after a gap: records between those that were read and those that come next are lost. */
    void clear() {
        holders.clear();
    }

    private boolean claim(Holder holder, ClaimRecord.Claimed claimed, Instant claimedAt) {
        if (holder != null && !(holder.state() instanceof State.Abandoned)) {
            return false;
        }
        holders.remove(claimed.key());
        Holder winner = new Holder(claimed.claimId(), claimed.claimer(), claimed.bodyDigest(), claimedAt, RUNNING);
        holders.put(claimed.key(), winner);
        return true;
    }

    private boolean finish(Holder holder, ClaimRecord record, State endState) {
        if (holder == null || !holder.claimId().equals(record.claimId())) {
            return false;
        }
        if (!(holder.state() instanceof State.Running)) {
            return false;
        }
        holders.put(record.key(), holder.withState(endState));
        return true;
    }
}
