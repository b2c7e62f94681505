package org.wagtaillug.link;

/**
 * Traffic counters of a link since it was opened.
 *
 * @param bytesIn bytes read from sockets, including frame lengths and TLS
 * @param bytesOut bytes written to sockets, including frame lengths and TLS
 * @param messagesIn messages passed to the handler
 * @param messagesOut messages accepted by a connection
 * @param dropped messages that were not sent: no connection, outbound buffer full or message too large
 * @param misdirected messages addressed to another VM, which were dropped
 * @param malformed connections closed because of an invalid frame or message
 * @param timedOut connections closed because the peer did not acknowledge messages in time
 * @param connections connections to peers that are open now
 */
public record LinkCounters(
        long bytesIn,
        long bytesOut,
        long messagesIn,
        long messagesOut,
        long dropped,
        long misdirected,
        long malformed,
        long timedOut,
        int connections) {}
