package org.wagtaillug.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;
import org.wagtaillug.log.LogRecord.StateEntry;
import org.wagtaillug.log.LogRecord.StateMember;

/** Naive reference implementation of the control state: scans the whole list of records for each query. */
final class NaiveControlState {
    private NaiveControlState() {}

    /** 0, followed by the offsets of all changes of a key that took effect. */
    static List<Long> versions(List<LogBatch.Entry> entries, String key) {
        List<Long> versions = new ArrayList<>(List.of(0L));
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof Change change
                    && change.key().equals(key)
                    && change.base() == versions.getLast()) {
                versions.add(entry.offset());
            }
        }
        return versions;
    }

    static List<StateEntry> entries(List<LogBatch.Entry> entries) {
        List<StateEntry> result = new ArrayList<>();
        for (LogBatch.Entry entry : entries) {
            if (entry.record() instanceof Change change
                    && versions(entries, change.key()).getLast() == entry.offset()) {
                result.add(new StateEntry(change.key(), entry.offset(), change.body()));
            }
        }
        result.sort(Comparator.comparing(StateEntry::key));
        return result;
    }

    static List<StateMember> members(List<LogBatch.Entry> entries) {
        List<StateMember> members = new ArrayList<>();
        for (LogBatch.Entry entry : entries) {
            if (!(entry.record() instanceof RosterChange change)) {
                continue;
            }
            NodeId subject = change.subject();
            if (change.kind() == RosterChangeKind.JOIN) {
                boolean outdated = members.stream()
                        .anyMatch(member -> member.node().vm().equals(subject.vm())
                                && member.node().incarnation() >= subject.incarnation());
                if (!outdated) {
                    members.removeIf(member -> member.node().vm().equals(subject.vm()));
                    members.add(new StateMember(
                            subject, entry.offset(), change.address().get()));
                }
                continue;
            }
            boolean accepted = change.kind() == RosterChangeKind.LEAVE
                    || members.stream().anyMatch(member -> member.node().equals(change.author()));
            members.removeIf(member -> accepted && member.node().equals(subject));
        }
        members.sort(Comparator.comparing(StateMember::node));
        return members;
    }
}
