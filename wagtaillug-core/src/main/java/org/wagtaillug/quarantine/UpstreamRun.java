package org.wagtaillug.quarantine;

import org.wagtaillug.id.VmId;

/**
 * The time from a start of an upstream to its end.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 */
public record UpstreamRun(VmId upstream, long incarnation) {}
