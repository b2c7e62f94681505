package org.wagtaillug.claim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;

/**
 * Naive reference implementation of {@link ClaimTable}: scans the whole stream for a key's winning claim and for the
 * end of that claim, and repeats from there if the claim was abandoned.
 */
final class NaiveClaimTable {
    private NaiveClaimTable() {}

    static Optional<ClaimTable.Holder> holder(List<LogBatch.Entry> entries, String key) {
        List<ClaimRecord> records = new ArrayList<>();
        List<LogBatch.Entry> entryOfRecord = new ArrayList<>();
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof LogRecord.ClaimBatch batch) {
                for (ClaimRecord record : batch.claims()) {
                    if (record.key().equals(key)) {
                        records.add(record);
                        entryOfRecord.add(entry);
                    }
                }
            }
        }
        Optional<ClaimTable.Holder> holder = Optional.empty();
        int from = 0;
        while (true) {
            int winner = from;
            while (winner < records.size() && !(records.get(winner) instanceof ClaimRecord.Claimed)) {
                winner++;
            }
            if (winner == records.size()) {
                return holder;
            }
            ClaimRecord.Claimed claim = (ClaimRecord.Claimed) records.get(winner);
            int end = winner + 1;
            while (end < records.size() && !endsClaim(records.get(end), claim)) {
                end++;
            }
            ClaimTable.State state = new ClaimTable.State.Running();
            if (end < records.size()) {
                state = records.get(end) instanceof ClaimRecord.Settled settled
                        ? new ClaimTable.State.Settled(settled.code(), settled.run(), settled.output())
                        : new ClaimTable.State.Abandoned();
            }
            holder = Optional.of(new ClaimTable.Holder(
                    claim.claimId(),
                    claim.claimer(),
                    claim.bodyDigest(),
                    entryOfRecord.get(winner).time(),
                    state));
            if (!(state instanceof ClaimTable.State.Abandoned)) {
                return holder;
            }
            from = end + 1;
        }
    }

    /** The holders of all keys that have no outcome or abandonment recorded. */
    static List<ClaimTable.Holder> running(List<LogBatch.Entry> entries) {
        Set<String> keys = new LinkedHashSet<>();
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof LogRecord.ClaimBatch batch) {
                batch.claims().forEach(record -> keys.add(record.key()));
            }
        }
        List<ClaimTable.Holder> running = new ArrayList<>();
        for (String key : keys) {
            holder(entries, key)
                    .filter(holder -> holder.state() instanceof ClaimTable.State.Running)
                    .ifPresent(running::add);
        }
        return running;
    }

    private static boolean endsClaim(ClaimRecord record, ClaimRecord.Claimed claim) {
        return !(record instanceof ClaimRecord.Claimed) && record.claimId().equals(claim.claimId());
    }
}
