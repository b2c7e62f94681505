package org.wagtaillug.peer;

import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;

/**
 * A registered node.
 *
 * @param id the id of its VM, which is also its address
 * @param domain its failure domain
 * @param capacity its processor capacity, in cores of the slowest kind; 1 if not configured
 */
public record Member(VmId id, DomainId domain, double capacity) {
    /** Validates the capacity. */
    public Member {
        if (!(capacity > 0) || Double.isInfinite(capacity)) {
            throw new IllegalArgumentException("capacity is " + capacity + "; expected a number above 0");
        }
    }
}
