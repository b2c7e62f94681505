package org.wagtaillug.serving;

/**
 * What this node exchanges with other nodes.
 *
 * @param rollouts the progress of rollouts
 * @param notices what upstreams announce
 * @param streams the origins of streams
 * @param quarantine prompts that crash upstreams
 * @param assignments the choice of engines for the requests of all nodes
 * @param reservations the capacity that is reserved for later steps
 */
record Exchanges(
        RolloutExchange rollouts,
        NoticeExchange notices,
        StreamExchange streams,
        QuarantineExchange quarantine,
        AssignmentExchange assignments,
        ReservationExchange reservations) {}
