package org.wagtaillug.membership;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.wagtaillug.id.NodeId;

/**
 * The ownership of upstreams. Only the owner of an upstream grants allowances for it and sends commands to it.
 *
 * <p>The roster is computed from the records of the control stream, so all nodes at the same offset agree on the owner.
 * A roster change takes effect at different times: the node that loses an upstream stops as soon as it reads the
 * record, and the node that gains it starts only after every right of the previous owner has expired.
 */
public interface Ownership {
    /** The owner of an upstream according to the roster that this node knows; empty while the roster is empty. */
    Optional<NodeId> ownerOf(Vm upstream);

    /** This node. */
    NodeId self();

    /** All members of the roster that this node knows, including itself if it has joined. */
    Collection<NodeId> members();

    /**
     * Whether this node may grant allowances for an upstream now: it is the owner, its view is fresh, and the
     * allowances of all previous owners have expired.
     */
    boolean mayGrant(Vm upstream, Instant now);

    /**
     * The fencing number of this node's ownership of an upstream: the offset of the roster record that assigned it. A
     * later owner has a greater number. 0 if this node is not the owner.
     */
    long fencingNumber(Vm upstream);
}
