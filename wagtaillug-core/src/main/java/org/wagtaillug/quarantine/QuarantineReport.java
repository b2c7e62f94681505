package org.wagtaillug.quarantine;

import java.util.List;

/**
 * What a node knows of prompts that crash upstreams, for other nodes.
 *
 * @param supported whether the sender takes part; false for nodes of builds without quarantine
 * @param entries the state of each quarantine that it knows
 * @param crashes the crashes that the sender itself has seen
 * @param completions the latest completions of segments that are or were under suspicion
 */
public record QuarantineReport(
        boolean supported,
        List<QuarantineEntry> entries,
        List<CrashReport> crashes,
        List<CompletionReport> completions) {
    /** The report of a node of a build without quarantine. */
    public static final QuarantineReport UNSUPPORTED = new QuarantineReport(false, List.of(), List.of(), List.of());

    /** Makes defensive copies of the lists. */
    public QuarantineReport {
        entries = List.copyOf(entries);
        crashes = List.copyOf(crashes);
        completions = List.copyOf(completions);
    }
}
