package org.wagtaillug.membership;

/** What a node may assume about its own view of the control stream. */
public enum ViewStatus {
    /** The node does not have the complete control state yet. */
    STARTING,
    /** The node has read every record that was in the log one lease ago. */
    FRESH,
    /**
     * The node hears a majority of the roster, and no peer that it hears reaches the log: no change can be accepted
     * now.
     */
    LOG_OUTAGE,
    /** The node hears neither the log nor a majority of the roster, or knows of records that it cannot get. */
    CUT_OFF
}
