package org.wagtaillug.configuration;

import java.time.Instant;

/** Is told of each change of the roster as this node reads it, one record at a time. */
public interface RosterListener {
    /**
     * A record changed the roster.
     *
     * @param offset of the record
     * @param now when this node read it
     */
    void rosterChanged(long offset, Instant now);

    /**
     * A whole state was taken over, so that any number of records may have changed the roster and changed it back.
     *
     * @param through the last offset that is in the state
     * @param now when this node took it over
     */
    void rosterReplaced(long through, Instant now);
}
