package org.wagtaillug.serving;

import org.wagtaillug.id.VmId;

/** How a request gets to an upstream. */
public sealed interface UpstreamPath {
    /** The path of a node that can connect to the upstream itself. */
    UpstreamPath DIRECT = new Direct();

    /** Over a connection of this node to the upstream. */
    record Direct() implements UpstreamPath {}

    /**
     * Through a tunnel: a peer connects to the upstream and forwards all bytes.
     *
     * @param peer the peer
     */
    record ThroughPeer(VmId peer) implements UpstreamPath {}
}
