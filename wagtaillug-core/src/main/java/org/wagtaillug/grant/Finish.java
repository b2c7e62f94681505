package org.wagtaillug.grant;

/** How an attempt at an upstream ended, as far as the upstream's load is concerned. */
public enum Finish {
    /** The whole answer came. Evidence that the upstream bears its load. */
    SUCCEEDED,
    /**
     * The connection broke or fell silent after a byte may have left: the upstream may be cold, and may still be working
     * on it.
     */
    FAILED,
    /** It was given up, never sent, or rejected for its content: says nothing of the upstream. */
    CANCELLED,
    /** Refused, or no connection could be made: nothing runs there, and the upstream may be cold. */
    OVERLOADED
}
