package org.wagtaillug.directory;

import java.time.Duration;
import org.wagtaillug.clock.WallTime;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

/**
 * The entry that an upstream registers for itself.
 *
 * @param id its id, which may stay the same across restarts
 * @param incarnation the Unix time of its start in milliseconds; 0 if not registered
 * @param pool the pool that it serves
 * @param host the host on which it listens
 * @param port the port on which it listens
 * @param domain its failure domain
 * @param leaving whether it is about to shut down and should get no new work
 * @param remainingColdTime how much longer it is cold and can take only little load
 * @param version the version of its software; empty if not registered
 * @param slots the requests that it processes at the same time; 0 if not registered
 * @param sequence the number of the registration within the incarnation; higher for later ones, 0 if not registered
 */
public record Listing(
        VmId id,
        long incarnation,
        PoolId pool,
        String host,
        int port,
        DomainId domain,
        boolean leaving,
        Duration remainingColdTime,
        String version,
        int slots,
        long sequence) {
    /** Creates an entry without slots. */
    public Listing(
            VmId id,
            long incarnation,
            PoolId pool,
            String host,
            int port,
            DomainId domain,
            boolean leaving,
            Duration remainingColdTime,
            String version) {
        this(id, incarnation, pool, host, port, domain, leaving, remainingColdTime, version, 0, 0);
    }

    /** Returns the same entry with another sequence. */
    public Listing withSequence(long latest) {
        return new Listing(
                id, incarnation, pool, host, port, domain, leaving, remainingColdTime, version, slots, latest);
    }

    /** Whether another entry says the same, except for its sequence. */
    public boolean renews(Listing earlier) {
        return equals(earlier.withSequence(sequence));
    }

    /** Whether it was written before another entry of the same incarnation, as far as both tell their sequence. */
    boolean olderThan(Listing other) {
        return incarnation != 0 && incarnation == other.incarnation && sequence != 0 && sequence < other.sequence;
    }

    /** The time of its start by its own wall clock; 1970-01-01 if not registered. */
    public WallTime startedAt() {
        return new WallTime(incarnation);
    }
}
