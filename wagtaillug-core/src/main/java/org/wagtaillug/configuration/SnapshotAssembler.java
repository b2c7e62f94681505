package org.wagtaillug.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.log.LogRecord.SnapshotPart;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;

/** Puts the parts of snapshots together. Parts may be doubled, mixed with those of another snapshot, or missing. */
final class SnapshotAssembler {
    private final Map<String, Map<Integer, SnapshotPart>> parts = new HashMap<>();

    /**
     * A whole snapshot.
     *
     * @param through every record up to this offset is in it, none after it
     * @param entries the configuration
     * @param members the roster
     */
    record Snapshot(long through, List<StateEntry> entries, List<StateMember> members) {}

    /** Takes a part in and gives the snapshot if this was the last part that was missing. */
    Optional<Snapshot> accept(SnapshotPart part) {
        if (part.part() < 0 || part.part() >= part.parts()) {
            return Optional.empty();
        }
        Map<Integer, SnapshotPart> known = parts.computeIfAbsent(part.snapshotId(), id -> new TreeMap<>());
        known.put(part.part(), part);
        if (known.size() < part.parts()) {
            return Optional.empty();
        }
        Optional<Snapshot> whole = join(known, part);
        forgetUpTo(part.through());
        return whole;
    }

    private static Optional<Snapshot> join(Map<Integer, SnapshotPart> known, SnapshotPart last) {
        List<StateEntry> entries = new ArrayList<>();
        List<StateMember> members = new ArrayList<>();
        for (SnapshotPart part : known.values()) {
            // Two writers that used one id by a fault would be mixed up: their parts disagree on the offset or count.
            if (part.through() != last.through() || part.parts() != last.parts()) {
                return Optional.empty();
            }
            entries.addAll(part.entries());
            members.addAll(part.members());
        }
        return Optional.of(new Snapshot(last.through(), entries, members));
    }

    /** Drops what a whole snapshot has made useless: older ones that never became whole, and its own parts. */
    private void forgetUpTo(long through) {
        parts.values().removeIf(known -> known.values().iterator().next().through() <= through);
    }
}
