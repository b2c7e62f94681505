package org.wagtaillug.grant;

/** How an attempt at an upstream ended, as far as the load on the upstream is concerned. */
public enum UpstreamOutcome {
    /** The complete response was received: evidence that the upstream can take its load. */
    SUCCEEDED,
    /**
     * The connection went silent after a byte may have been sent, and the attempt was given up. The upstream may be
     * cold, and may still be working on the request, so its slot stays taken for {@link GrantOwner#MAX_ATTEMPT_DURATION}.
     */
    FAILED,
    /**
     * Never sent, or rejected because of its content. Says nothing about the state of the upstream, and nothing is
     * running there.
     */
    CANCELLED,
    /**
     * Cancelled by this node after a byte may have been sent. Says nothing about the state of the upstream, which works
     * on the request until it notices that its connection is closed.
     */
    ABANDONED,
    /**
     * Refused, or the upstream could not be reached or closed the connection: nothing is running there, and the
     * upstream may be cold.
     */
    OVERLOADED
}
