package org.wagtaillug.batch;

import org.wagtaillug.id.NodeId;

/**
 * Identifies an order.
 *
 * @param origin the node that placed the order
 * @param number unique during the lifetime of that node's process
 */
public record OrderId(NodeId origin, long number) {}
