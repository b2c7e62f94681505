package org.wagtaillug.daemon.tunnel;

import org.wagtaillug.id.VmId;

/**
 * The tag of requests that go through a tunnel. Connections are not shared between requests with different tags.
 *
 * @param peer the peer that forwards
 * @param upstream the upstream
 * @param incarnation the incarnation of the upstream
 */
public record TunnelRoute(VmId peer, VmId upstream, long incarnation) {}
