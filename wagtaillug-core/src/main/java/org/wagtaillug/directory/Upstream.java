package org.wagtaillug.directory;

import java.time.Instant;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * One upstream as it is known now.
 *
 * @param listing what it says of itself
 * @param coldUntil until when it bears little load
 */
public record Upstream(Listing listing, Instant coldUntil) {
    /** Its name. */
    public VmId id() {
        return listing.id();
    }

    /** The pool that it serves. */
    public PoolId pool() {
        return listing.pool();
    }

    /** Its failure domain. */
    public DomainId domain() {
        return listing.domain();
    }

    /** Whether it bears little load. */
    public boolean cold(Instant now) {
        return now.isBefore(coldUntil);
    }
}
