package org.wagtaillug.health;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.ModelId;

/**
 * A load report of an upstream, which arrives with a delay.
 *
 * @param startedAt when its process started, by its own clock; a changed value means that it has restarted and is cold
 * @param reportedAt the time that the figures describe
 * @param running the number of requests in progress
 * @param waiting the number of queued requests
 * @param slots the number of requests that it processes concurrently
 * @param model the model that it serves; empty if it is not an engine
 * @param modelVersion the version of that model; 0 without one
 * @param fencingNumber the highest fencing number that it has seen in an order; 0 for none
 */
public record LoadReport(
        Instant startedAt,
        Instant reportedAt,
        int running,
        int waiting,
        int slots,
        Optional<ModelId> model,
        int modelVersion,
        long fencingNumber) {}
