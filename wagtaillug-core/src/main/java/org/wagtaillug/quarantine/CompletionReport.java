package org.wagtaillug.quarantine;

import java.time.Duration;
import org.wagtaillug.id.SegmentId;

/**
 * A prompt with a segment was answered completely, which shows that the segment does not crash upstreams.
 *
 * @param segment the segment
 * @param run the run of the upstream that answered
 * @param age the time since the end of the latest such answer
 */
public record CompletionReport(SegmentId segment, UpstreamRun run, Duration age) {}
