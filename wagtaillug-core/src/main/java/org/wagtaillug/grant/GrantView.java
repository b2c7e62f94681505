package org.wagtaillug.grant;

import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;

/**
 * The state of the grants for one upstream, for the administration interface.
 *
 * @param upstream the upstream
 * @param owner the node that grants its allowances; empty while no node does
 * @param cold whether the upstream is considered cold
 * @param limit the maximum number of requests that all nodes together may have in flight there; 0 at nodes that do not
 *      own it
 * @param reserves the maximum number of requests that each node may have in flight there; empty at nodes that do not
 *      own it
 * @param allowance the maximum number of requests that this node may have in flight there now
 * @param fixedShare whether that allowance is this node's fixed share of a warm upstream, used because no owner answers
 * @param inUse the number of requests that this node has in flight there
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
