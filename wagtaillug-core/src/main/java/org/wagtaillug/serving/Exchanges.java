package org.wagtaillug.serving;

/**
 * What this node exchanges with other nodes.
 *
 * @param rollouts the progress of rollouts
 * @param notices what upstreams announce
 * @param streams the origins of streams
 * @param quarantine prompts that crash upstreams
 */
record Exchanges(
        RolloutExchange rollouts,
        NoticeExchange notices,
        StreamExchange streams,
        QuarantineExchange quarantine,
        ReservationExchange reservations) {}
