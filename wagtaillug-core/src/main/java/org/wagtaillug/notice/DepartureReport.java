package org.wagtaillug.notice;

import java.time.Duration;
import org.wagtaillug.id.VmId;

/**
 * An upstream has announced in an answer that it is about to shut down.
 *
 * @param upstream the upstream
 * @param latestStart the latest start, in Unix milliseconds, of an incarnation that the announcement concerns
 * @param age the time since the answer that said so
 */
public record DepartureReport(VmId upstream, long latestStart, Duration age) {}
