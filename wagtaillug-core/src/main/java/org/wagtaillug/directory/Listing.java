package org.wagtaillug.directory;

import java.time.Duration;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * What an upstream says of itself.
 *
 * @param id its name, which it may keep over a restart
 * @param incarnation the Unix millisecond of its start; 0 if it does not say
 * @param pool the pool that it serves
 * @param host where it listens
 * @param port where it listens
 * @param domain its failure domain
 * @param leaving whether it takes nothing new soon
 * @param coldFor how much longer it bears little load
 * @param version the version of its software; empty if it does not say
 */
public record Listing(
        VmId id,
        long incarnation,
        PoolId pool,
        String host,
        int port,
        DomainId domain,
        boolean leaving,
        Duration coldFor,
        String version) {}
