package org.wagtaillug.daemon.tunnel;

import java.util.Optional;

/** The response to a request for a tunnel, sent as one byte. */
enum TunnelStatus {
    /** The connection to the upstream is open. */
    CONNECTED(0),
    /** The connection to the upstream could not be opened. */
    UPSTREAM_UNREACHABLE(1),
    /** The peer accepts no tunnel to this upstream. */
    REFUSED(2);

    private final int code;

    TunnelStatus(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** The status with a code; empty if there is none. */
    static Optional<TunnelStatus> of(int code) {
        for (TunnelStatus status : values()) {
            if (status.code == code) {
                return Optional.of(status);
            }
        }
        return Optional.empty();
    }
}
