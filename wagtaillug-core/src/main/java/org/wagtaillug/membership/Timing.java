package org.wagtaillug.membership;

import java.time.Duration;

/**
 * The lengths of time that the nodes' mutual promises rest on. All nodes of a firm must run with the same ones.
 *
 * <p>Clocks of different nodes are never compared; only lengths are, and {@link #DRIFT} covers their rates.
 */
public final class Timing {
    /** How long a read of the control stream's tail vouches for a node's view, from the sending of the read. */
    public static final Duration LEASE = Duration.ofSeconds(3);

    /** The longest lifetime of an allowance, from the sending of the ask. */
    public static final Duration LONGEST_GRANT = Duration.ofSeconds(2);

    /** The allowance for clocks that run at different rates over a lease and a grant. */
    public static final Duration DRIFT = Duration.ofMillis(250);

    /** How often a node probes each peer that it watches. */
    public static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** How long a peer may be silent before it is held to be dead. */
    public static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

    /** After this long every right that another node had before a roster record is over. */
    public static final Duration HANDOVER = LEASE.plus(LONGEST_GRANT).plus(DRIFT);

    private Timing() {}
}
