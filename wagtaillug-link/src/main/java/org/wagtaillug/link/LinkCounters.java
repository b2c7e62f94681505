package org.wagtaillug.link;

/**
 * What has passed over a link since it was opened.
 *
 * @param bytesIn bytes read from sockets, frame lengths and TLS included
 * @param bytesOut bytes written to sockets, frame lengths and TLS included
 * @param messagesIn messages handed to the handler
 * @param messagesOut messages given to a connection
 * @param dropped messages that were not sent: no connection, a full outbound buffer or too large
 * @param foreign messages that were meant for another VM and were dropped
 * @param malformed connections closed because of something that is no frame or no message
 * @param silent connections closed because nothing came back over them
 * @param connections connections to peers that stand now
 */
public record LinkCounters(
        long bytesIn,
        long bytesOut,
        long messagesIn,
        long messagesOut,
        long dropped,
        long foreign,
        long malformed,
        long silent,
        int connections) {}
