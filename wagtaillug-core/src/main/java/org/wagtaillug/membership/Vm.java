package org.wagtaillug.membership;

import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;

/**
 * A VM as the platform's list shows it. The list lags: a VM may be gone though listed, or live though not yet listed.
 *
 * @param id its name
 * @param pool the pool it serves in; empty for our own nodes
 * @param domain its failure domain
 * @param region its region
 * @param host an IP number
 * @param port where it listens
 * @param leaving whether the platform said that it is going
 */
public record Vm(
        VmId id, Optional<PoolId> pool, DomainId domain, RegionId region, String host, int port, boolean leaving) {
    /** Whether it is an upstream rather than a node of ours. */
    public boolean upstream() {
        return pool.isPresent();
    }
}
