package org.wagtaillug.grant;

import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;

/**
 * How the grants of one upstream stand, for administration.
 *
 * @param upstream which
 * @param owner who gives out its allowances; empty while nobody does
 * @param cold whether it is held to be cold
 * @param limit the most that all nodes together may have in flight there; 0 at nodes that do not own it
 * @param reserves the most that each node may have in flight there; empty at nodes that do not own it
 * @param allowance the most that this node may have in flight there now
 * @param fixedShare whether that allowance is this node's fixed share of a warm upstream, because no owner answers
 * @param inUse how many this node has in flight there
 */
public record GrantView(
        VmId upstream,
        Optional<NodeId> owner,
        boolean cold,
        int limit,
        Map<NodeId, Integer> reserves,
        int allowance,
        boolean fixedShare,
        int inUse) {}
