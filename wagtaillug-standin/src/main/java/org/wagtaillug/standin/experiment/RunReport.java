package org.wagtaillug.standin.experiment;

import java.util.List;
import org.wagtaillug.standin.load.LoadReport;

/**
 * The report of one run.
 *
 * @param run the parameters of the run
 * @param figures the figures used to compare runs
 * @param load the load report
 * @param stages the cost of each stage after the warm-up
 * @param cold the behaviour of cold upstreams
 * @param newWork how long upstreams still got new work after they were taken out of service; empty if there were none
 * @param notRunThatRan the number of requests refused as not run that an upstream executed
 * @param nodes the resource usage of each node after the warm-up
 * @param digests the configuration digest of each node at the end, as printed by the tool
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

    /** A figure; {@code name} includes its unit. */
    record Figure(String name, double value) {}

    /**
     * The cost of one stage.
     *
     * @param attempts the number of attempts that ended
     * @param attemptsPerAnswer attempts per final answer of the nodes
     * @param seconds the total duration of all attempts
     * @param wastedSeconds the total duration of attempts that did not complete, including losing hedges
     * @param wastedShare the ratio of wasted to all seconds
     */
    record StageCost(
            String stage,
            double attempts,
            double attemptsPerAnswer,
            double seconds,
            double wastedSeconds,
            double wastedShare) {}

    /**
     * The behaviour of cold upstreams.
     *
     * @param fellOver the number of crashes caused by overload while cold
     * @param breaches the upstreams whose cold limit was exceeded
     * @param prefixHits the share of completions whose prefix was cached
     */
    record ColdStart(long fellOver, List<Breach> breaches, double prefixHits) {}

    /** An upstream whose cold limit was exceeded. */
    record Breach(String upstream, int coldLimit, long peak) {}

    /**
     * The last new work of an upstream that was taken out of service.
     *
     * @param why {@code domain-out} or {@code leaving}
     * @param lastAfterMillis the time from the change to the last accepted request; negative if the request came first. The
     *     time of the change is when the log service accepted it for a failure domain, and when the VM list was updated for
     *     a leaving upstream
     */
    record NewWork(String upstream, String why, long lastAfterMillis) {}

    /**
     * The resource usage of one node.
     *
     * @param controlShare CPU time of its control thread, as a share of one core
     * @param processShare CPU time of the process, as a share of one core
     * @param linkBytesPerSecond bytes per second exchanged with other nodes, in both directions
     * @param heapMegabytes its used heap at the end, including garbage
     */
    record NodeCost(
            String node, double controlShare, double processShare, double linkBytesPerSecond, double heapMegabytes) {}

    /** Returns the report as a human-readable table. */
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
