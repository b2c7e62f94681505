package org.wagtaillug.notice;

import java.time.Duration;
import java.util.OptionalDouble;
import org.wagtaillug.id.VmId;

/**
 * What a node knows of the rate limit of an upstream, for other nodes.
 *
 * @param upstream the upstream
 * @param requestsPerSecond the limit; empty if the upstream announces none any more
 * @param age the time since the answer in which the upstream announced it
 */
public record RateLimitReport(VmId upstream, OptionalDouble requestsPerSecond, Duration age) {}
