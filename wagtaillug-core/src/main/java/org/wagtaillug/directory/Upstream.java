package org.wagtaillug.directory;

import java.time.Instant;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * The current state of an upstream.
 *
 * @param listing the entry that it registered
 * @param coldUntil until when it is cold and can take only little load
 */
public record Upstream(Listing listing, Instant coldUntil) {
    /** The upstream's id. */
    public VmId id() {
        return listing.id();
    }

    /** The pool that it serves. */
    public PoolId pool() {
        return listing.pool();
    }

    /** The upstream's failure domain. */
    public DomainId domain() {
        return listing.domain();
    }

    /** Whether the upstream is cold and can take only little load. */
    public boolean cold(Instant now) {
        return now.isBefore(coldUntil);
    }
}
