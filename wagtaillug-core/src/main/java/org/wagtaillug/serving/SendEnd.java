package org.wagtaillug.serving;

import java.util.Optional;

/** How an attempt at an upstream ended. */
public sealed interface SendEnd {
    /**
     * No byte of it was sent.
     *
     * @param reason for the log
     */
    record Unsent(String reason) implements SendEnd {}

    /**
     * The upstream said that it has not run it and will not.
     *
     * @param status what it said
     */
    record NotRun(int status) implements SendEnd {}

    /**
     * The upstream answered with a failure of its own, which is kept and may be passed on.
     *
     * @param status what it said
     */
    record Failed(int status) implements SendEnd {}

    /** The whole answer is with the caller. */
    record Passed() implements SendEnd {}

    /**
     * The connection broke, or what came is not the answer to this request. The request may have run.
     *
     * @param reason for the log
     * @param lastEvent the last event that the caller has, if it has any
     */
    record Broken(String reason, Optional<String> lastEvent) implements SendEnd {}

    /** The caller is gone, or this node gave the attempt up. */
    record GivenUp() implements SendEnd {}
}
