package org.wagtaillug.daemon.body;

/** How the reception of a body ended. */
public sealed interface BodyEnd {
    /**
     * The whole body was received.
     *
     * @param bytes the body
     */
    record Received(byte[] bytes) implements BodyEnd {}

    /** The body is longer than allowed. */
    record TooLong() implements BodyEnd {}

    /** The bodies of all requests together take as much memory as they may. */
    record NoMemory() implements BodyEnd {}

    /** The caller stopped sending before the end of the body. */
    record Incomplete() implements BodyEnd {}

    /** The body was not complete within the time that a caller has for it. */
    record TimedOut() implements BodyEnd {}

    /** The body was not complete when the node had to stop receiving because it shuts down. */
    record ShutDown() implements BodyEnd {}
}
