package org.wagtaillug.batch;

import org.wagtaillug.id.NodeId;

/**
 * Identifies an order.
 *
 * @param origin the node that placed the order
 * @param number unique during the lifetime of that node's process
 */
public record OrderId(NodeId origin, long number) {
    /** Whether an earlier run of the VM of a node placed the order. */
    boolean ofRunBefore(NodeId run) {
        return origin.vm().equals(run.vm()) && origin.incarnation() < run.incarnation();
    }
}
