package org.wagtaillug.log;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.contract.Body;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** One record of a stream. */
public sealed interface LogRecord {
    /**
     * An operator's change of one configuration key. It wins if and only if {@code base} is the key's version when the
     * record's turn comes in the order of offsets; its offset is then the key's new version.
     *
     * @param key what is changed, for example {@code template/menu-draft}
     * @param base the version that the operator saw; 0 for a key that did not exist
     * @param body the new body
     * @param operator who
     * @param changeId unique to the change, by which its sender finds it again
     */
    record Change(String key, long base, Body body, OperatorId operator, String changeId) implements LogRecord {}

    /**
     * A node that joins, or that another or itself takes from the roster.
     *
     * @param kind what happens
     * @param subject the node that it happens to
     * @param author the node that wrote the record
     * @param address where the subject listens for other nodes; empty unless it joins
     */
    record RosterChange(RosterChangeKind kind, NodeId subject, NodeId author, Optional<NodeAddress> address)
            implements LogRecord {}

    /** What a {@link RosterChange} does. */
    enum RosterChangeKind {
        /** The subject begins to take part. Replaces an older incarnation on the same VM. */
        JOIN,
        /** The subject says itself that it has given up all it held. */
        LEAVE,
        /** The author has not heard from the subject. */
        REMOVE
    }

    /**
     * Where a node listens.
     *
     * @param host an IP number
     * @param port of the link between nodes
     * @param domain its failure domain
     */
    record NodeAddress(String host, int port, DomainId domain) {}

    /**
     * One part of the whole control state as it was after a given offset, written again before retention drops what it
     * was made from. Two nodes that write it at once write the same thing.
     *
     * @param snapshotId shared by all parts of one snapshot
     * @param through every record up to this offset is in it, none after it
     * @param part counts from 0
     * @param parts how many parts there are
     * @param entries configuration entries
     * @param members members of the roster; in part 0 only
     */
    record SnapshotPart(
            String snapshotId, long through, int part, int parts, List<StateEntry> entries, List<StateMember> members)
            implements LogRecord {}

    /**
     * A configuration key as it stands.
     *
     * @param key which
     * @param version the offset of the change that won last
     * @param body what it holds
     */
    record StateEntry(String key, long version, Body body) {}

    /**
     * A member of the roster as it stands.
     *
     * @param node which
     * @param joined the offset of its join
     * @param address where it listens
     */
    record StateMember(NodeId node, long joined, NodeAddress address) {}

    /**
     * Claims and outcomes that one node appended together.
     *
     * @param claims in order; each counts as if it stood alone
     */
    record ClaimBatch(List<ClaimRecord> claims) implements LogRecord {}

    /** Something said of one idempotency key. */
    sealed interface ClaimRecord {
        /** The key's {@code identity()}. */
        String key();

        /** Unique to the claim; tells a node's own claim from another of the same key. */
        String claimId();

        /**
         * A node wants to run it. The first one of a key wins, unless the one before it was abandoned.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique to the claim
         * @param issuedAt when the caller made the key
         * @param claimer who
         * @param bodyDigest of template and body, to tell a key used for something else
         */
        record Claimed(String key, String claimId, Instant issuedAt, NodeId claimer, String bodyDigest)
                implements ClaimRecord {}

        /**
         * The winner has its outcome.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique to the claim
         * @param code how it ended
         * @param run whether it took effect
         * @param output the answer to repeat to a caller that asks again
         */
        record Settled(String key, String claimId, ResultCode code, RunState run, Payload output)
                implements ClaimRecord {}

        /**
         * The claimer has barred itself from ever sending under this claim, and never sent.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique to the claim
         */
        record Abandoned(String key, String claimId) implements ClaimRecord {}
    }

    /**
     * A record that this version of the program cannot read. It holds its place and says nothing.
     *
     * @param size its length in bytes
     */
    record Unreadable(int size) implements LogRecord {}
}
