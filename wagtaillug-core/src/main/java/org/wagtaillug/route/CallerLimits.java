package org.wagtaillug.route;

import java.time.Duration;

/**
 * What a caller may send.
 *
 * @param headerBytes the longest head
 * @param bodyBytes the longest body
 * @param headerTimeout the longest time for a head to arrive
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Holds until a configuration says otherwise. */
    public static final CallerLimits USUAL =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
