package org.wagtaillug.health;

import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.ModelId;

/**
 * What an upstream says of itself, with a lag.
 *
 * @param startedAt when its process started, by its clock; another value than before means that it is cold again
 * @param reportedAt the moment that the figures describe
 * @param running requests being worked on
 * @param waiting requests queued behind them
 * @param slots how many it works on at once
 * @param model the model it serves; empty for other than engines
 * @param modelVersion the version of that model; 0 without one
 * @param fencingNumber the highest fencing number it has seen in an order; 0 for none
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
