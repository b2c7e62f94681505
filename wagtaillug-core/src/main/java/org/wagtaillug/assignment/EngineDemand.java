package org.wagtaillug.assignment;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.routing.PrefixSegment;

/**
 * What a request needs of an engine.
 *
 * @param segments the segments of its prompt that other requests may share, in order
 * @param promptTokens the length of the whole prompt
 * @param outputTokens the maximum number of tokens of the answer; 0 if unknown
 * @param inputsDomain the failure domain that holds most of its inputs; empty if it has none
 * @param inputBytes the size of its inputs
 * @param excluded the engines that must not get it
 * @param deadline when the request ends at the latest
 */
public record EngineDemand(
        List<PrefixSegment> segments,
        int promptTokens,
        int outputTokens,
        Optional<DomainId> inputsDomain,
        long inputBytes,
        Set<VmId> excluded,
        Instant deadline) {
    /** Makes defensive copies of the collections. */
    public EngineDemand {
        segments = List.copyOf(segments);
        excluded = Set.copyOf(excluded);
    }
}
