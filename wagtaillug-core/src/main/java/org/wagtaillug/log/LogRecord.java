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

/** A record of a stream. */
public sealed interface LogRecord {
    /**
     * An operator's change of one configuration key. It takes effect if and only if {@code base} equals the version of
     * the key when the record is applied in order of offsets; its offset is then the new version of the key.
     *
     * @param key the key, for example {@code template/menu-draft}
     * @param base the version that the change is based on; 0 for a key that did not exist
     * @param body the new body
     * @param operator the operator
     * @param changeId unique id by which the sender finds the change again
     */
    record Change(String key, long base, Body body, OperatorId operator, String changeId) implements LogRecord {}

    /**
     * A change of the roster: a node joins, leaves, or is removed by another node.
     *
     * @param kind the kind of change
     * @param subject the node that joins, leaves or is removed
     * @param author the node that wrote the record
     * @param address where the subject listens for other nodes; empty unless it joins
     */
    record RosterChange(RosterChangeKind kind, NodeId subject, NodeId author, Optional<NodeAddress> address)
            implements LogRecord {}

    /** The kind of a {@link RosterChange}. */
    enum RosterChangeKind {
        /** The subject joins. Replaces an older incarnation on the same VM. */
        JOIN,
        /** The subject leaves and states that it has given up everything it held. */
        LEAVE,
        /** The author removes the subject because it no longer hears from it. */
        REMOVE
    }

    /**
     * The address of a node.
     *
     * @param host an IP address
     * @param port port for the connections between nodes
     * @param domain the node's failure domain
     */
    record NodeAddress(String host, int port, DomainId domain) {}

    /**
     * One part of a snapshot of the control state at an offset. Snapshots are written before retention drops the
     * records that the state was built from. Two nodes that write a snapshot of the same offset write the same content.
     *
     * @param snapshotId shared by all parts of one snapshot
     * @param through the snapshot includes every record up to this offset and none after it
     * @param part index of this part, starting at 0
     * @param parts number of parts
     * @param entries configuration entries
     * @param members members of the roster; in part 0 only
     */
    record SnapshotPart(
            String snapshotId, long through, int part, int parts, List<StateEntry> entries, List<StateMember> members)
            implements LogRecord {}

    /**
     * The current entry of a configuration key.
     *
     * @param key the key
     * @param version the offset of the last change that took effect
     * @param body the body
     */
    record StateEntry(String key, long version, Body body) {}

    /**
     * A current member of the roster.
     *
     * @param node the node
     * @param joined the offset of its join
     * @param address where it listens
     */
    record StateMember(NodeId node, long joined, NodeAddress address) {}

    /**
     * Claims, outcomes and abandonments that one node appended together.
     *
     * @param claims in order; each is applied as if it had been appended alone
     */
    record ClaimBatch(List<ClaimRecord> claims) implements LogRecord {}

    /** A record about one idempotency key. */
    sealed interface ClaimRecord {
        /** The key's {@code identity()}. */
        String key();

        /** Unique id of the claim; distinguishes a node's own claim from another claim of the same key. */
        String claimId();

        /**
         * A node claims the key. The first claim of a key wins, unless the previous winner was abandoned.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique id of the claim
         * @param issuedAt when the caller issued the key
         * @param claimer the node
         * @param bodyDigest digest of template and body, to detect a key that is reused for another request
         */
        record Claimed(String key, String claimId, Instant issuedAt, NodeId claimer, String bodyDigest)
                implements ClaimRecord {}

        /**
         * The winner of the key records its outcome.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique id of the claim
         * @param code the result code
         * @param run whether it took effect
         * @param output the response to return to later requests with the key
         */
        record Settled(String key, String claimId, ResultCode code, RunState run, Payload output)
                implements ClaimRecord {}

        /**
         * The claimer never sent the request and will never send it under this claim.
         *
         * @param key the key's {@code identity()}
         * @param claimId unique id of the claim
         */
        record Abandoned(String key, String claimId) implements ClaimRecord {}
    }

    /**
     * A record that this version of the program cannot read. It takes its offset and has no effect.
     *
     * @param size its length in bytes
     */
    record Unreadable(int size) implements LogRecord {}
}
