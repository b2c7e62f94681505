package org.wagtaillug.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes the maximum size of a request's header section
 * @param bodyBytes the maximum size of a request body
 * @param headerTimeout the maximum time to receive the header section
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** The defaults for configurations without limits. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
