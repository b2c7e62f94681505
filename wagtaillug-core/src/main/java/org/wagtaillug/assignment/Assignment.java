package org.wagtaillug.assignment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.id.VmId;

/**
 * The engines chosen for a request.
 *
 * @param engines the engines in order of preference; empty if there is none
 * @param first why the first was chosen; empty if there is none
 * @param candidates the number of engines that were compared
 */
public record Assignment(List<VmId> engines, Optional<First> first, int candidates) {
    /** The result if no engine is known. */
    public static final Assignment NONE = new Assignment(List.of(), Optional.empty(), 0);

    /** Makes a defensive copy of the list. */
    public Assignment {
        engines = List.copyOf(engines);
    }

    /**
     * Why an engine was chosen.
     *
     * @param cost its cost
     * @param free whether its slots and its memory allow the request
     * @param reportAge the age of its last load report; empty without one
     */
    public record First(AssignmentCost cost, boolean free, Optional<Duration> reportAge) {}
}
