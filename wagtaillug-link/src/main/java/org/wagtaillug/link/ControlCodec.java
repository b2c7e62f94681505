package org.wagtaillug.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.generated.ChangeMessage;
import org.wagtaillug.link.generated.NodeAddressMessage;
import org.wagtaillug.link.generated.NodeIdMessage;
import org.wagtaillug.link.generated.RosterChangeKindMessage;
import org.wagtaillug.link.generated.RosterChangeMessage;
import org.wagtaillug.link.generated.SnapshotPartMessage;
import org.wagtaillug.link.generated.StateEntryMessage;
import org.wagtaillug.link.generated.StateMemberMessage;
import org.wagtaillug.log.LogRecord;

/** Converts records of the control stream, and the parts of the control state, to and from protobuf. */
final class ControlCodec {
    private ControlCodec() {}

    static NodeIdMessage encode(NodeId node) {
        return NodeIdMessage.newBuilder()
                .setVm(node.vm().value())
                .setIncarnation(node.incarnation())
                .build();
    }

    static NodeId decode(NodeIdMessage message) {
        return new NodeId(new VmId(message.getVm()), message.getIncarnation());
    }

    static ChangeMessage encode(LogRecord.Change change) {
        return ChangeMessage.newBuilder()
                .setKey(change.key())
                .setBase(change.base())
                .setBody(BodyCodec.encode(change.body()))
                .setOperator(change.operator().value())
                .setChangeId(change.changeId())
                .build();
    }

    static LogRecord.Change decode(ChangeMessage message) {
        return new LogRecord.Change(
                message.getKey(),
                message.getBase(),
                BodyCodec.decode(message.getBody()),
                new OperatorId(message.getOperator()),
                message.getChangeId());
    }

    static RosterChangeMessage encode(LogRecord.RosterChange change) {
        RosterChangeMessage.Builder message = RosterChangeMessage.newBuilder()
                .setKind(encode(change.kind()))
                .setSubject(encode(change.subject()))
                .setAuthor(encode(change.author()));
        change.address().ifPresent(address -> message.setAddress(encode(address)));
        return message.build();
    }

    static LogRecord.RosterChange decode(RosterChangeMessage message) {
        Optional<LogRecord.NodeAddress> address =
                message.hasAddress() ? Optional.of(decode(message.getAddress())) : Optional.empty();
        return new LogRecord.RosterChange(
                decode(message.getKind()), decode(message.getSubject()), decode(message.getAuthor()), address);
    }

    static SnapshotPartMessage encode(LogRecord.SnapshotPart part) {
        return SnapshotPartMessage.newBuilder()
                .setSnapshotId(part.snapshotId())
                .setThrough(part.through())
                .setPart(part.part())
                .setParts(part.parts())
                .addAllEntries(encodeEntries(part.entries()))
                .addAllMembers(encodeMembers(part.members()))
                .build();
    }

    static LogRecord.SnapshotPart decode(SnapshotPartMessage message) {
        return new LogRecord.SnapshotPart(
                message.getSnapshotId(),
                message.getThrough(),
                message.getPart(),
                message.getParts(),
                decodeEntries(message.getEntriesList()),
                decodeMembers(message.getMembersList()));
    }

    static List<StateEntryMessage> encodeEntries(List<LogRecord.StateEntry> entries) {
        List<StateEntryMessage> messages = new ArrayList<>(entries.size());
        for (LogRecord.StateEntry entry : entries) {
            messages.add(StateEntryMessage.newBuilder()
                    .setKey(entry.key())
                    .setVersion(entry.version())
                    .setBody(BodyCodec.encode(entry.body()))
                    .build());
        }
        return messages;
    }

    static List<LogRecord.StateEntry> decodeEntries(List<StateEntryMessage> messages) {
        List<LogRecord.StateEntry> entries = new ArrayList<>(messages.size());
        for (StateEntryMessage message : messages) {
            entries.add(new LogRecord.StateEntry(
                    message.getKey(), message.getVersion(), BodyCodec.decode(message.getBody())));
        }
        return List.copyOf(entries);
    }

    static List<StateMemberMessage> encodeMembers(List<LogRecord.StateMember> members) {
        List<StateMemberMessage> messages = new ArrayList<>(members.size());
        for (LogRecord.StateMember member : members) {
            messages.add(StateMemberMessage.newBuilder()
                    .setNode(encode(member.node()))
                    .setJoined(member.joined())
                    .setAddress(encode(member.address()))
                    .build());
        }
        return messages;
    }

    static List<LogRecord.StateMember> decodeMembers(List<StateMemberMessage> messages) {
        List<LogRecord.StateMember> members = new ArrayList<>(messages.size());
        for (StateMemberMessage message : messages) {
            members.add(new LogRecord.StateMember(
                    decode(message.getNode()), message.getJoined(), decode(message.getAddress())));
        }
        return List.copyOf(members);
    }

    private static NodeAddressMessage encode(LogRecord.NodeAddress address) {
        return NodeAddressMessage.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .setDomain(address.domain().value())
                .build();
    }

    private static LogRecord.NodeAddress decode(NodeAddressMessage message) {
        return new LogRecord.NodeAddress(message.getHost(), message.getPort(), new DomainId(message.getDomain()));
    }

    private static RosterChangeKindMessage encode(LogRecord.RosterChangeKind kind) {
        return switch (kind) {
            case JOIN -> RosterChangeKindMessage.ROSTER_CHANGE_JOIN;
            case LEAVE -> RosterChangeKindMessage.ROSTER_CHANGE_LEAVE;
            case REMOVE -> RosterChangeKindMessage.ROSTER_CHANGE_REMOVE;
        };
    }

    private static LogRecord.RosterChangeKind decode(RosterChangeKindMessage kind) {
        return switch (kind) {
            case ROSTER_CHANGE_JOIN -> LogRecord.RosterChangeKind.JOIN;
            case ROSTER_CHANGE_LEAVE -> LogRecord.RosterChangeKind.LEAVE;
            case ROSTER_CHANGE_REMOVE -> LogRecord.RosterChangeKind.REMOVE;
            case ROSTER_CHANGE_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException(
                        "invalid roster change " + kind + "; expected JOIN, LEAVE or REMOVE");
        };
    }
}
