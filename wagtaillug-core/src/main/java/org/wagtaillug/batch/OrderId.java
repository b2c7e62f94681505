package org.wagtaillug.batch;

import org.wagtaillug.id.NodeId;

/**
 * Names an order for pieces.
 *
 * @param origin the node that wants the pieces
 * @param number given once in a run of that node
 */
public record OrderId(NodeId origin, long number) {}
