package org.wagtaillug.quarantine;

import java.time.Duration;
import java.util.Set;
import org.wagtaillug.id.SegmentId;

/**
 * The crash of an upstream, as one node has seen it.
 *
 * @param run the run of the upstream that ended
 * @param segments the shared segments of the prompts that the node had there
 * @param age the time since the crash
 */
public record CrashReport(UpstreamRun run, Set<SegmentId> segments, Duration age) {
    /** Makes a defensive copy of the set. */
    public CrashReport {
        segments = Set.copyOf(segments);
    }
}
