package org.wagtaillug.assignment;

import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/**
 * Identifies the attempt of a request that a node has in flight; a node has at most one.
 *
 * @param node the node that sends the request
 * @param request the request
 */
public record AttemptKey(VmId node, RequestId request) {}
