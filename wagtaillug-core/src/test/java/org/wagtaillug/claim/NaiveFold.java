package org.wagtaillug.claim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.log.LogRecord.ClaimRecord;

/** The meaning of the claims stream, told slowly: looks for a key's winner, then for its end, from there for the next. */
final class NaiveFold {
    private NaiveFold() {}

    static Optional<ClaimFold.Holder> holder(List<LogBatch.Entry> entries, String key) {
        List<ClaimRecord> records = new ArrayList<>();
        List<LogBatch.Entry> places = new ArrayList<>();
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof LogRecord.ClaimBatch batch) {
                for (ClaimRecord record : batch.claims()) {
                    if (record.key().equals(key)) {
                        records.add(record);
                        places.add(entry);
                    }
                }
            }
        }
        Optional<ClaimFold.Holder> found = Optional.empty();
        int from = 0;
        while (true) {
            int winner = from;
            while (winner < records.size() && !(records.get(winner) instanceof ClaimRecord.Claimed)) {
                winner++;
            }
            if (winner == records.size()) {
                return found;
            }
            ClaimRecord.Claimed claim = (ClaimRecord.Claimed) records.get(winner);
            int end = winner + 1;
            while (end < records.size() && !ends(records.get(end), claim)) {
                end++;
            }
            ClaimFold.State state = new ClaimFold.State.Running();
            if (end < records.size()) {
                state = records.get(end) instanceof ClaimRecord.Settled settled
                        ? new ClaimFold.State.Settled(settled.code(), settled.run(), settled.output())
                        : new ClaimFold.State.Abandoned();
            }
            found = Optional.of(new ClaimFold.Holder(
                    claim.claimId(),
                    claim.claimer(),
                    claim.bodyDigest(),
                    places.get(winner).time(),
                    state));
            if (!(state instanceof ClaimFold.State.Abandoned)) {
                return found;
            }
            from = end + 1;
        }
    }

    /** All keys that are held by somebody who has not recorded an end. */
    static List<ClaimFold.Holder> running(List<LogBatch.Entry> entries) {
        Set<String> keys = new LinkedHashSet<>();
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof LogRecord.ClaimBatch batch) {
                batch.claims().forEach(record -> keys.add(record.key()));
            }
        }
        List<ClaimFold.Holder> running = new ArrayList<>();
        for (String key : keys) {
            holder(entries, key)
                    .filter(holder -> holder.state() instanceof ClaimFold.State.Running)
                    .ifPresent(running::add);
        }
        return running;
    }

    private static boolean ends(ClaimRecord record, ClaimRecord.Claimed claim) {
        return !(record instanceof ClaimRecord.Claimed) && record.claimId().equals(claim.claimId());
    }
}
