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

/**
 * Assembles snapshots from their parts. Parts may be duplicated, interleaved with parts of another snapshot, or
 * missing.
 */
final class SnapshotAssembler {
    private final Map<String, Map<Integer, SnapshotPart>> parts = new HashMap<>();

    /**
     * A complete snapshot.
     *
     * @param through the snapshot includes every record up to this offset and none after it
     * @param entries the configuration
     * @param members the roster
     */
    record Snapshot(long through, List<StateEntry> entries, List<StateMember> members) {}

    /** Adds a part. Returns the snapshot if this was the last missing part. */
    Optional<Snapshot> add(SnapshotPart part) {
        if (part.part() < 0 || part.part() >= part.parts()) {
            return Optional.empty();
        }
        Map<Integer, SnapshotPart> received = parts.computeIfAbsent(part.snapshotId(), id -> new TreeMap<>());
        received.put(part.part(), part);
        if (received.size() < part.parts()) {
            return Optional.empty();
        }
        Optional<Snapshot> complete = join(received, part);
        dropUpTo(part.through());
        return complete;
    }

    private static Optional<Snapshot> join(Map<Integer, SnapshotPart> received, SnapshotPart last) {
        List<StateEntry> entries = new ArrayList<>();
        List<StateMember> members = new ArrayList<>();
        for (SnapshotPart part : received.values()) {
            // If two writers used the same id by mistake, their parts would be mixed up; they differ in offset or
            // count.
            if (part.through() != last.through() || part.parts() != last.parts()) {
                return Optional.empty();
            }
            entries.addAll(part.entries());
            members.addAll(part.members());
        }
        return Optional.of(new Snapshot(last.through(), entries, members));
    }

    /** Drops the parts that a complete snapshot makes obsolete: its own and those of older, incomplete snapshots. */
    private void dropUpTo(long through) {
        parts.values().removeIf(received -> received.values().iterator().next().through() <= through);
    }
}
