package org.wagtaillug.grant;

/** How an attempt at an upstream ended, as far as the upstream's load is concerned. */
public enum Finish {
    /** The whole answer came. Evidence that the upstream bears its load. */
    SUCCEEDED,
    /**
     * Given up because the connection fell silent after a byte may have left: the upstream may be cold, and may still be
     * working on it. Its place stays taken for {@link GrantOwner#LONGEST_ATTEMPT}.
     */
    FAILED,
    /** It was given up, never sent, or rejected for its content: says nothing of the upstream, and nothing runs there. */
    CANCELLED,
    /**
     * Refused, or the upstream's end could not be reached or closed the connection: nothing runs there, and the upstream
     * may be cold.
     */
    OVERLOADED
}
