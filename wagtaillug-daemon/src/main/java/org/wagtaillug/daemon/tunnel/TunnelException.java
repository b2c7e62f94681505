package org.wagtaillug.daemon.tunnel;

import java.io.IOException;

/** A tunnel could not be opened; no byte of the request was sent. */
public final class TunnelException extends IOException {
    private static final long serialVersionUID = 1;

    private final boolean upstreamUnreachable;

    TunnelException(String message, boolean upstreamUnreachable) {
        super(message);
        this.upstreamUnreachable = upstreamUnreachable;
    }

    /** Whether the peer could not connect to the upstream; otherwise the cause lies between this node and the peer. */
    public boolean upstreamUnreachable() {
        return upstreamUnreachable;
    }
}
