package org.wagtaillug.membership;

/** What a node may take for granted about its own view of the control stream. */
public enum Standing {
    /** It does not hold the whole control state yet. */
    STARTING,
    /** It knows every record that was on the log a lease's length ago. */
    FRESH,
    /** Nobody that it hears reaches the log, and it hears most of the roster: no change can be accepted now. */
    LOG_OUTAGE,
    /** It hears neither the log nor most of the roster, or has heard of records that it cannot get. */
    CUT_OFF
}
