package org.wagtaillug.membership;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.wagtaillug.id.NodeId;

/**
 * Who owns which upstream. The owner alone gives out allowances for it and issues orders to it.
 *
 * <p>The roster is a fold over the control stream, so all nodes at the same offset name the same owner. A change of the
 * roster takes effect at different times: the node that loses an upstream stops at once when it reads the record, the
 * node that gains it starts only after every right of the one before has lapsed.
 */
public interface Ownership {
    /** The owner of an upstream by the roster as this node knows it; empty while the roster is empty. */
    Optional<NodeId> ownerOf(Vm upstream);

    /** This node. */
    NodeId self();

    /** All members of the roster as this node knows it, this one included if it has joined. */
    Collection<NodeId> members();

    /**
     * Whether this node may give out allowances for an upstream now: it is the owner, its view is fresh enough, and the
     * allowances of any owner before it have lapsed.
     */
    boolean mayGrant(Vm upstream, Instant now);

    /**
     * The fencing number of this node's ownership of an upstream: the offset of the roster record that gave it. A later
     * owner has a greater one. 0 if this node is not the owner.
     */
    long fencingNumber(Vm upstream);
}
