package org.wagtaillug.notice;

import java.util.OptionalDouble;

/**
 * What an upstream announces about itself in the headers of an answer.
 *
 * @param rateLimit the requests per second that it accepts from all nodes together; empty if it names no limit
 */
public record UpstreamNotice(OptionalDouble rateLimit) {
    /** The notice of an upstream that announces nothing. */
    public static final UpstreamNotice NONE = new UpstreamNotice(OptionalDouble.empty());
}
