package org.wagtaillug.notice;

import java.time.Duration;
import org.wagtaillug.id.VmId;

/**
 * An upstream has announced in an answer that it is about to shut down.
 *
 * @param upstream the upstream
 * @param incarnation the Unix time of its start in milliseconds; 0 if not registered
 * @param age the time since the first answer that said so
 */
public record DepartureReport(VmId upstream, long incarnation, Duration age) {}
