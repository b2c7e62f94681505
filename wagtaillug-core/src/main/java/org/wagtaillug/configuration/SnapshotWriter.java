package org.wagtaillug.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogRecord.SnapshotPart;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Writes snapshots of the control state to the control stream before retention drops the records that the state was
 * built from. The members are ranked by rendezvous hashing, so that normally one of them writes; the next one takes
 * over if no snapshot appears.
 */
final class SnapshotWriter {
    /** Maximum size of one part in bytes, by {@link #estimatedBytes}; the log service accepts 262,144. */
    static final int MAX_PART_BYTES = 200_000;

    /** The additional delay per rank before a member writes a snapshot. */
    static final Duration TURN_INTERVAL = Duration.ofSeconds(10);

    private static final Duration REWRITE_INTERVAL = Duration.ofMinutes(1);
    private static final int ENTRY_OVERHEAD_BYTES = 200;
    private static final int MAX_RANK = 8;

    private final NodeId self;
    private final ControlState state;
    private final Duration interval;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Set<Long> appends = new HashSet<>();
    private Optional<Instant> lastSnapshotAt = Optional.empty();
    private Optional<Instant> lastWriteAt = Optional.empty();
    private long lastSnapshotThrough;
    private long writeCount;

    SnapshotWriter(NodeId self, ControlState state, Duration interval) {
        this.self = self;
        this.state = state;
        this.interval = interval;
    }

    /** Estimated size of an entry on the log, in bytes: its text may be escaped, and its field names are repeated. */
    static int estimatedBytes(StateEntry entry) {
        return 2 * CanonicalEncoding.size(entry) + ENTRY_OVERHEAD_BYTES;
    }

    private static int estimatedBytes(StateMember member) {
        return 2 * CanonicalEncoding.size(member) + ENTRY_OVERHEAD_BYTES;
    }

    /**
     * Records that a complete snapshot was read.
     *
     * @param through offset that the snapshot covers
     * @param age age of the snapshot by the log service's clock when it was read
     */
    void onSnapshotRead(long through, Duration age, Instant now) {
        if (through < lastSnapshotThrough) {
            return;
        }
        lastSnapshotThrough = through;
        lastSnapshotAt = Optional.of(now.minus(age));
    }

    /** Writes a snapshot if one is due and it is this node's turn. Must be called only while the state is complete. */
    void onTick(Instant now, Effects effects) {
        if (lastSnapshotAt.isEmpty()) {
            lastSnapshotAt = Optional.of(now);
        }
        if (!isDue(now) || !state.isMember(self)) {
            return;
        }
        lastWriteAt = Optional.of(now);
        write(effects);
    }

    private boolean isDue(Instant now) {
        if (state.through() <= lastSnapshotThrough) {
            return false;
        }
        if (lastWriteAt.isPresent() && now.isBefore(lastWriteAt.get().plus(REWRITE_INTERVAL))) {
            return false;
        }
        Instant earliest = lastSnapshotAt.orElse(now).plus(interval);
        if (now.isBefore(earliest)) {
            return false;
        }
        return !now.isBefore(earliest.plus(TURN_INTERVAL.multipliedBy(rank())));
    }

    /** The number of members that rank before this node in the order given by the last snapshot's offset. */
    private int rank() {
        String rankingKey = "snapshot/" + lastSnapshotThrough;
        long ownScore = rendezvous.score(rankingKey, self.vm().value());
        int before = 0;
        for (StateMember member : state.members()) {
            if (rendezvous.score(rankingKey, member.node().vm().value()) > ownScore) {
                before++;
            }
        }
        return Math.min(before, MAX_RANK);
    }

    private void write(Effects effects) {
        writeCount++;
        String snapshotId = self + "/" + state.through() + "/" + writeCount;
        List<StateMember> members = state.members();
        int rosterBytes = 0;
        for (StateMember member : members) {
            rosterBytes += estimatedBytes(member);
        }
        List<List<StateEntry>> parts = split(rosterBytes);
        for (int part = 0; part < parts.size(); part++) {
            long append = effects.nextAppend();
            appends.add(append);
            SnapshotPart record = new SnapshotPart(
                    snapshotId, state.through(), part, parts.size(), parts.get(part), part == 0 ? members : List.of());
            effects.add(new Effect.AppendToLog(append, LogStream.CONTROL, record));
        }
    }

    private List<List<StateEntry>> split(int rosterBytes) {
        List<List<StateEntry>> parts = new ArrayList<>();
        List<StateEntry> current = new ArrayList<>();
        parts.add(current);
        int size = rosterBytes;
        for (StateEntry entry : state.entries()) {
            int entryBytes = estimatedBytes(entry);
            if (size > 0 && size + entryBytes > MAX_PART_BYTES) {
                current = new ArrayList<>();
                parts.add(current);
                size = 0;
            }
            current.add(entry);
            size += entryBytes;
        }
        return parts;
    }

    /**
     * Handles the end of an append. Returns whether it was a part of a snapshot. If a part is lost, the snapshot is
     * unusable and another one is written later.
     */
    boolean onAppendEnded(long append) {
        return appends.remove(append);
    }
}
