package org.wagtaillug.standin.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts what came of each request. Safe from all threads. */
final class Recorder {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final LoadFile file;
    private final long seed;
    private final GroupTally total = new GroupTally();
    private final Map<String, GroupTally> customers = new TreeMap<>();
    private final Map<String, GroupTally> kinds = new TreeMap<>();
    private final TreeMap<Integer, GroupTally> seconds = new TreeMap<>();
    private final Map<String, Long> nodes = new TreeMap<>();
    private final Map<String, Outcome> keys = new HashMap<>();
    private final List<LoadReport.FaultReport> faults = new ArrayList<>();
    private final Histogram sendLag = new Histogram(SIGNIFICANT_DIGITS);
    private long wrongRequest;
    private long tooShort;
    private long doubled;

    Recorder(LoadFile file, long seed) {
        this.file = file;
        this.seed = seed;
    }

    synchronized void sent(Arrival arrival, long lagNanos) {
        if (arrival.warmsUp()) {
            return;
        }
        sendLag.recordValue(Math.max(0, lagNanos) / NANOS_PER_MICRO);
    }

    synchronized void given(String node) {
        nodes.merge(node, 1L, Long::sum);
    }

    synchronized void firstToken(Arrival arrival, long nanos) {
        for (GroupTally group : groups(arrival)) {
            group.firstToken(nanos);
        }
    }

    synchronized void betweenTokens(Arrival arrival, long nanos) {
        for (GroupTally group : groups(arrival)) {
            group.betweenTokens(nanos);
        }
    }

    /** Counts a request's end; {@code key} is empty when it had no idempotency key. */
    synchronized void end(Arrival arrival, String key, Outcome outcome, AnswerCheck check, long wholeNanos) {
        wrongRequest += check.wrongRequest() ? 1 : 0;
        tooShort += check.tooShort() ? 1 : 0;
        doubled += check.doubled() ? 1 : 0;
        if (!key.isEmpty()) {
            keys.put(key, outcome);
        }
        if (arrival.warmsUp()) {
            return;
        }
        for (GroupTally group : groups(arrival)) {
            group.end(outcome, arrival.kind().worth(), wholeNanos);
        }
        int second = (int) (arrival.atNanos() / NANOS_PER_SECOND);
        seconds.computeIfAbsent(second, unused -> new GroupTally())
                .end(outcome, arrival.kind().worth(), wholeNanos);
    }

    synchronized void fault(LoadReport.FaultReport fault) {
        faults.add(fault);
    }

    /**
     * Closes the books.
     *
     * @param executions how often the ledgers show each key as executed; empty when none was asked
     */
    synchronized LoadReport report(Map<String, Integer> executions) {
        double duration = file.duration().toNanos() / (double) NANOS_PER_SECOND;
        GroupReport all = total.report();
        return new LoadReport(
                seed,
                file.duration().toMillis(),
                all.offered() / duration,
                all,
                reports(customers),
                reports(kinds),
                truth(executions),
                nodes,
                Percentiles.of(sendLag),
                List.copyOf(faults),
                seconds());
    }

    private TruthErrors truth(Map<String, Integer> executions) {
        long doubleRuns = 0;
        long falseNotRun = 0;
        long servedNotRun = 0;
        if (file.ledgers().isEmpty()) {
            return new TruthErrors(wrongRequest, tooShort, doubled, 0, 0, 0);
        }
        for (Map.Entry<String, Outcome> entry : keys.entrySet()) {
            int times = executions.getOrDefault(entry.getKey(), 0);
            Outcome outcome = entry.getValue();
            doubleRuns += times > 1 ? 1 : 0;
            falseNotRun += times > 0 && outcome instanceof Outcome.Refused refusal && refusal.notRun() ? 1 : 0;
            servedNotRun += times == 0 && outcome instanceof Outcome.Served ? 1 : 0;
        }
        return new TruthErrors(wrongRequest, tooShort, doubled, doubleRuns, falseNotRun, servedNotRun);
    }

    private List<LoadReport.SecondReport> seconds() {
        List<LoadReport.SecondReport> reports = new ArrayList<>();
        int last = seconds.isEmpty() ? -1 : seconds.lastKey();
        for (int second = 0; second <= last; second++) {
            GroupReport group = seconds.getOrDefault(second, new GroupTally()).report();
            reports.add(
                    new LoadReport.SecondReport(second, group.served(), group.late(), group.lost(), group.refused()));
        }
        return reports;
    }

    private List<GroupTally> groups(Arrival arrival) {
        if (arrival.warmsUp()) {
            return List.of();
        }
        GroupTally customer = customers.computeIfAbsent(arrival.customer().name(), unused -> new GroupTally());
        GroupTally kind = kinds.computeIfAbsent(arrival.kind().name(), unused -> new GroupTally());
        return List.of(total, customer, kind);
    }

    private static Map<String, GroupReport> reports(Map<String, GroupTally> groups) {
        Map<String, GroupReport> reports = new TreeMap<>();
        groups.forEach((name, group) -> reports.put(name, group.report()));
        return reports;
    }
}
