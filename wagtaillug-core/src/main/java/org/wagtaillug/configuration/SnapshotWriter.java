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
 * Writes the control state to the stream again before retention drops what it was made from. The members take turns by
 * a rendezvous order, so that normally one of them writes; the next one steps in when no snapshot comes.
 */
final class SnapshotWriter {
    /** The most bytes that one part may take by {@link #estimate}; the log service takes 262,144. */
    static final int LARGEST_PART = 200_000;

    /** How much later than the one before it in the order a member writes. */
    static final Duration TURN = Duration.ofSeconds(10);

    private static final Duration REWRITE = Duration.ofMinutes(1);
    private static final int ENTRY_OVERHEAD = 200;
    private static final int LAST_RANK = 8;

    private final NodeId self;
    private final ControlState state;
    private final Duration every;
    private final Rendezvous rendezvous = new Rendezvous();
    private final Set<Long> appends = new HashSet<>();
    private Optional<Instant> seenAt = Optional.empty();
    private Optional<Instant> writtenAt = Optional.empty();
    private long seenThrough;
    private long written;

    SnapshotWriter(NodeId self, ControlState state, Duration every) {
        this.self = self;
        this.state = state;
        this.every = every;
    }

    /** About how many bytes an entry takes on the log: its text may be escaped, and its field names are repeated. */
    static int estimate(StateEntry entry) {
        return 2 * CanonicalForm.size(entry) + ENTRY_OVERHEAD;
    }

    private static int estimate(StateMember member) {
        return 2 * CanonicalForm.size(member) + ENTRY_OVERHEAD;
    }

    /**
     * Notes a whole snapshot.
     *
     * @param through its offset
     * @param age how old it was by the service's clock when it was read
     */
    void seen(long through, Duration age, Instant now) {
        if (through < seenThrough) {
            return;
        }
        seenThrough = through;
        seenAt = Optional.of(now.minus(age));
    }

    /** Writes a snapshot if one is due and it is this node's turn. Only to be called while the state is complete. */
    void onTick(Instant now, Effects effects) {
        if (seenAt.isEmpty()) {
            seenAt = Optional.of(now);
        }
        if (!due(now) || !state.isMember(self)) {
            return;
        }
        writtenAt = Optional.of(now);
        write(effects);
    }

    private boolean due(Instant now) {
        if (state.through() <= seenThrough) {
            return false;
        }
        if (writtenAt.isPresent() && now.isBefore(writtenAt.get().plus(REWRITE))) {
            return false;
        }
        Instant earliest = seenAt.orElse(now).plus(every);
        if (now.isBefore(earliest)) {
            return false;
        }
        return !now.isBefore(earliest.plus(TURN.multipliedBy(rank())));
    }

    /** How many members come before this node in the order that the last snapshot's offset gives. */
    private int rank() {
        String turn = "snapshot/" + seenThrough;
        long own = rendezvous.score(turn, self.vm().value());
        int before = 0;
        for (StateMember member : state.members()) {
            if (rendezvous.score(turn, member.node().vm().value()) > own) {
                before++;
            }
        }
        return Math.min(before, LAST_RANK);
    }

    private void write(Effects effects) {
        written++;
        String snapshotId = self + "/" + state.through() + "/" + written;
        List<StateMember> members = state.members();
        int firstSize = 0;
        for (StateMember member : members) {
            firstSize += estimate(member);
        }
        List<List<StateEntry>> parts = split(firstSize);
        for (int part = 0; part < parts.size(); part++) {
            long append = effects.nextAppend();
            appends.add(append);
            SnapshotPart record = new SnapshotPart(
                    snapshotId, state.through(), part, parts.size(), parts.get(part), part == 0 ? members : List.of());
            effects.add(new Effect.AppendToLog(append, LogStream.CONTROL, record));
        }
    }

    private List<List<StateEntry>> split(int firstSize) {
        List<List<StateEntry>> parts = new ArrayList<>();
        List<StateEntry> current = new ArrayList<>();
        parts.add(current);
        int size = firstSize;
        for (StateEntry entry : state.entries()) {
            int more = estimate(entry);
            if (size > 0 && size + more > LARGEST_PART) {
                current = new ArrayList<>();
                parts.add(current);
                size = 0;
            }
            current.add(entry);
            size += more;
        }
        return parts;
    }

    /** Whether the append was one of a snapshot's parts. A lost part makes the snapshot useless; another is written. */
    boolean appendEnded(long append) {
        return appends.remove(append);
    }
}
