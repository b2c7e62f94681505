package org.wagtaillug.membership;

import java.util.Optional;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;

/**
 * A VM in the VM list of the platform. The list lags: a listed VM may be gone, and a running one may not be listed yet.
 *
 * @param id its name
 * @param pool the pool that it serves; empty for a VM that runs a node
 * @param domain its failure domain
 * @param region its region
 * @param host its IP address
 * @param port the port that it listens on
 * @param leaving whether the platform has announced that it will be removed
 */
public record Vm(
        VmId id, Optional<PoolId> pool, DomainId domain, RegionId region, String host, int port, boolean leaving) {
    /** Whether this VM is an upstream rather than a node. */
    public boolean upstream() {
        return pool.isPresent();
    }
}
