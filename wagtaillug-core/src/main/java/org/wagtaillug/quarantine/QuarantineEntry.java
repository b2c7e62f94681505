package org.wagtaillug.quarantine;

import java.time.Duration;
import java.util.Set;
import org.wagtaillug.id.SegmentId;

/**
 * The state of the quarantine of prompts, for other nodes and for the store.
 *
 * @param segments prompts that hold all of these segments are concerned: usually one, or several that have always been
 *     present together at crashes
 * @param revision increases with each change between {@code quarantined} and lifted; the highest one is valid
 * @param quarantined whether such prompts are refused; false after the quarantine was lifted
 * @param crashes the number of crashes that led to it
 * @param trials the number of such prompts that were sent since, to find out whether they still crash upstreams
 * @param age the time since the first of these crashes
 */
public record QuarantineEntry(
        Set<SegmentId> segments, int revision, boolean quarantined, int crashes, int trials, Duration age) {
    /** Whether it concerns the tries of one request, whose content then stands in place of segments. */
    public boolean ofContent() {
        return segments.stream().allMatch(SegmentId::isContent);
    }

    /** Validates the entry, as one without segments would concern all prompts. */
    public QuarantineEntry {
        segments = Set.copyOf(segments);
        if (segments.isEmpty() || revision < 1) {
            throw new IllegalArgumentException("found " + segments.size() + " segments and revision " + revision
                    + "; expected one segment or more and revision 1 or higher");
        }
    }
}
