package org.wagtaillug.standin.experiment;

import java.util.List;
import org.wagtaillug.standin.load.LoadReport;

/**
 * All that came of one run.
 *
 * @param run what was fixed before it began
 * @param figures the figures by which runs are compared
 * @param load what came of the requests
 * @param stages what each stage cost after the warm-up
 * @param cold how upstreams fared that had just started
 * @param newWork how long upstreams that were to get no new work still got some; empty if there were none
 * @param notRunThatRan how many requests that were refused as not run were executed by an upstream
 * @param nodes what each node used after the warm-up
 * @param digests the digest of each node's configuration at the end, as the tool shows them
 */
record RunReport(
        RunFacts run,
        List<Figure> figures,
        LoadReport load,
        List<StageCost> stages,
        ColdStart cold,
        List<NewWork> newWork,
        long notRunThatRan,
        List<NodeCost> nodes,
        List<String> digests) {
    static final String FILE = "report.json";

    /** One figure; {@code name} says its unit. */
    record Figure(String name, double value) {}

    /**
     * What one stage cost.
     *
     * @param attempts how many attempts ended
     * @param attemptsPerAnswer attempts of each final answer of the nodes
     * @param seconds how long all attempts took together
     * @param wastedSeconds how long those took that did not end completed, lost hedges included
     * @param wastedShare wasted of all seconds
     */
    record StageCost(
            String stage,
            double attempts,
            double attemptsPerAnswer,
            double seconds,
            double wastedSeconds,
            double wastedShare) {}

    /**
     * How upstreams fared that had just started.
     *
     * @param fellOver how often one fell over
     * @param breaches those that were given more than they bear while cold
     * @param prefixHits completions that found their prefix cached, as a share of all
     */
    record ColdStart(long fellOver, List<Breach> breaches, double prefixHits) {}

    /** One upstream that was given more than it bears while cold. */
    record Breach(String upstream, int coldLimit, long peak) {}

    /**
     * One upstream that was to get no new work.
     *
     * @param why {@code domain-out} or {@code leaving}
     * @param lastAfterMillis how long after the change it took its last work; negative if before. A failure domain's change
     *     counts from when the log service took it, a leaving upstream's from when the VM list was told
     */
    record NewWork(String upstream, String why, long lastAfterMillis) {}

    /**
     * What one node used.
     *
     * @param controlShare processor time of its control thread, as a share of one core
     * @param processShare processor time of the whole process, as a share of one core
     * @param linkBytesPerSecond bytes between it and other nodes, both ways
     * @param heapMegabytes its heap in use at the end, garbage included
     */
    record NodeCost(
            String node, double controlShare, double processShare, double linkBytesPerSecond, double heapMegabytes) {}

    /** Returns the report as a table for people. */
    String table() {
        StringBuilder table = new StringBuilder();
        String title = "%n%s, policy %s, seed %d, firm %s: %.1f requests/s, the engines bear %.1f%n%n";
        table.append(title.formatted(run.scenario(), run.policy(), run.seed(), run.firm(), run.rate(), run.capacity()));
        table.append(load.table());
        table.append("not run that ran: ").append(notRunThatRan).append(System.lineSeparator());
        table.append("%n%-12s %9s %11s %10s %10s %8s%n"
                .formatted("stage", "attempts", "per answer", "seconds", "wasted s", "wasted"));
        for (StageCost cost : stages) {
            table.append("%-12s %9.0f %11.3f %10.1f %10.1f %7.2f%%%n"
                    .formatted(
                            cost.stage(),
                            cost.attempts(),
                            cost.attemptsPerAnswer(),
                            cost.seconds(),
                            cost.wastedSeconds(),
                            cost.wastedShare() * 100));
        }
        table.append("%nfell over while cold: %d; given too much while cold: %s%n"
                .formatted(cold.fellOver(), cold.breaches()));
        table.append("prefixes found cached: %.1f%%%n".formatted(cold.prefixHits() * 100));
        for (NewWork work : newWork) {
            String line = "last new work of %s (%s): %d ms after the change%n";
            table.append(line.formatted(work.upstream(), work.why(), work.lastAfterMillis()));
        }
        table.append("%n%-10s %14s %14s %12s %9s%n"
                .formatted("node", "control core", "process core", "link B/s", "heap MB"));
        for (NodeCost node : nodes) {
            table.append("%-10s %13.2f%% %13.1f%% %12.0f %9.1f%n"
                    .formatted(
                            node.node(),
                            node.controlShare() * 100,
                            node.processShare() * 100,
                            node.linkBytesPerSecond(),
                            node.heapMegabytes()));
        }
        table.append(System.lineSeparator());
        digests.forEach(line -> table.append(line).append(System.lineSeparator()));
        return table.toString();
    }
}
