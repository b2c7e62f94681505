package org.wagtaillug.membership;

import java.time.Duration;

/**
 * Time limits of the membership and grant protocols. All nodes that share a roster must use the same values.
 *
 * <p>Clocks of different nodes are never compared, only durations, and {@link #CLOCK_DRIFT} covers differences in clock rate.
 */
public final class Timing {
    /** How long a read of the control stream's tail keeps a node's view fresh, from when the read was sent. */
    public static final Duration LEASE = Duration.ofSeconds(3);

    /** The maximum lifetime of an allowance, from when the grant request was sent. */
    public static final Duration MAX_GRANT_LIFETIME = Duration.ofSeconds(2);

    /** The allowance for differences in clock rate over a lease and a grant. */
    public static final Duration CLOCK_DRIFT = Duration.ofMillis(250);

    /** The interval at which a node probes each of its probed peers. */
    public static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** How long a peer may be silent before it is considered dead. */
    public static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

    /** After this time, every right that another node had before a roster record has expired. */
    public static final Duration HANDOVER = LEASE.plus(MAX_GRANT_LIFETIME).plus(CLOCK_DRIFT);

    private Timing() {}
}
