package org.wagtaillug.configuration;

import java.time.Instant;

/** Notified of each change of the roster as this node reads it, one record at a time. */
public interface RosterListener {
    /**
     * Called when a record changed the roster.
     *
     * @param offset offset of the record
     * @param now when this node read it
     */
    void rosterChanged(long offset, Instant now);

    /**
     * Called when a complete state was adopted, so that any number of records may have changed the roster.
     *
     * @param through the last offset that the state includes
     * @param now when this node adopted it
     */
    void rosterReplaced(long through, Instant now);
}
