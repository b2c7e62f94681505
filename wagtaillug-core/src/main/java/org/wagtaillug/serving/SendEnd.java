package org.wagtaillug.serving;

import java.util.Optional;

/** How an attempt at an upstream ended. */
public sealed interface SendEnd {
    /**
     * No byte of the request was sent.
     *
     * @param reason the cause, for the log
     */
    record Unsent(String reason) implements SendEnd {}

    /**
     * No byte of the request was sent, as the peer on the path could not be reached or refused the tunnel. Says nothing
     * about the upstream.
     *
     * @param reason the cause, for the log
     */
    record NoPath(String reason) implements SendEnd {}

    /**
     * The upstream reported that it has not executed the request and will not.
     *
     * @param status the status of its response
     */
    record NotRun(int status) implements SendEnd {}

    /**
     * The upstream answered with a failure, which is kept and may be forwarded.
     *
     * @param status the status of its response
     */
    record Failed(int status) implements SendEnd {}

    /**
     * The complete answer was sent to the caller.
     *
     * @param delimited whether a length or chunks showed where it ends; otherwise it ended with its connection, which a crash of
     *     the upstream between two events ends as well
     */
    record Passed(boolean delimited) implements SendEnd {
        /** Creates the end of an answer with a length or chunks. */
        public Passed() {
            this(true);
        }
    }

    /**
     * The connection failed, or the response does not belong to this request, which may have been executed.
     *
     * @param reason the cause, for the log
     * @param lastEvent id of the last event that the caller has received, if any
     */
    record Broken(String reason, Optional<String> lastEvent) implements SendEnd {}

    /** The caller has disconnected, or this node has cancelled the attempt. */
    record GivenUp() implements SendEnd {}
}
