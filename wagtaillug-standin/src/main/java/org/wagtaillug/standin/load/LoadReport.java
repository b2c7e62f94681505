package org.wagtaillug.standin.load;

import java.util.List;
import java.util.Map;

/**
 * The report of a load run.
 *
 * @param seed the seed of the arrivals
 * @param durationMillis how long requests were sent
 * @param warmUpMillis the initial period whose requests are included in truth and seconds only
 * @param offeredPerSecond the mean request rate
 * @param total all requests
 * @param customers by customer
 * @param kinds by kind
 * @param customerKinds by customer and kind, as {@code customer/kind}
 * @param truth counts of incorrect answers
 * @param retried the number of requests retried with the same idempotency key
 * @param nodes the number of requests sent to each node
 * @param sendLagMillis the delay of sends behind schedule; high values mean that this machine was overloaded
 * @param faults the timed calls and their results
 * @param seconds the outcomes of the requests scheduled in each second
 * @param misses the first requests after the warm-up that were not served in time, and all requests whose number of
 *     executions contradicts their answer
 * @param notRun the ids of all requests refused as not run
 */
public record LoadReport(
        long seed,
        long durationMillis,
        long warmUpMillis,
        double offeredPerSecond,
        GroupReport total,
        Map<String, GroupReport> customers,
        Map<String, GroupReport> kinds,
        Map<String, GroupReport> customerKinds,
        TruthErrors truth,
        long retried,
        Map<String, Long> nodes,
        Percentiles sendLagMillis,
        List<FaultReport> faults,
        List<SecondReport> seconds,
        List<Miss> misses,
        List<String> notRun) {
    /**
     * A timed call and its result.
     *
     * @param atMillis the time of the call since the start
     * @param result the HTTP status, or the failure
     */
    public record FaultReport(long atMillis, String url, String body, String result) {}

    /**
     * A request that was not served in time or got an incorrect answer.
     *
     * @param atMillis the scheduled send time since the start
     * @param wholeMillis the time until it ended
     * @param retried whether it was retried
     * @param what the outcome
     */
    public record Miss(
            long atMillis,
            long wholeMillis,
            String request,
            String key,
            String customer,
            String kind,
            String node,
            boolean retried,
            String what) {}

    /** The outcomes of the requests scheduled in one second of the run. */
    public record SecondReport(int second, long served, long late, long lost, long refused) {}

    /** Returns the report as a human-readable table. */
    public String table() {
        StringBuilder table = new StringBuilder();
        String head = "%-34s %8s %8s %6s %6s %8s %7s %10s %10s %9s %9s %9s %9s%n";
        table.append(head.formatted(
                "",
                "offered",
                "served",
                "late",
                "lost",
                "refused",
                "in time",
                "worth",
                "of worth",
                "p50 ms",
                "p95 ms",
                "first p95",
                "gap p95"));
        row(table, "all", total);
        customers.forEach((name, group) -> row(table, name, group));
        kinds.forEach((name, group) -> row(table, name, group));
        customerKinds.forEach((name, group) -> row(table, name, group));
        table.append("refused by run: ").append(total.refusedByRun()).append(System.lineSeparator());
        table.append("refused by code: ").append(total.refusedByCode()).append(System.lineSeparator());
        table.append("lost by reason: ").append(total.lostByReason()).append(System.lineSeparator());
        table.append("sent again under their key: ").append(retried).append(System.lineSeparator());
        table.append("errors of truth: ").append(truth).append(System.lineSeparator());
        return table.toString();
    }

    private static void row(StringBuilder table, String name, GroupReport group) {
        table.append("%-34s %8d %8d %6d %6d %8d %6.2f%% %10.0f %10.0f %9.1f %9.1f %9.1f %9.1f%n"
                .formatted(
                        name,
                        group.offered(),
                        group.served(),
                        group.late(),
                        group.lost(),
                        group.refused(),
                        group.attainment() * 100,
                        group.worthServed(),
                        group.worthOffered(),
                        group.wholeMillis().p50(),
                        group.wholeMillis().p95(),
                        group.firstTokenMillis().p95(),
                        group.betweenTokensMillis().p95()));
    }
}
