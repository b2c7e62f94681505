package org.wagtaillug.standin.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Records the outcome of each request. Thread-safe. */
final class Recorder {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_MISSES = 500;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final LoadFile file;
    private final long seed;
    private final GroupTally total = new GroupTally();
    private final Map<String, GroupTally> customers = new TreeMap<>();
    private final Map<String, GroupTally> kinds = new TreeMap<>();
    private final Map<String, GroupTally> customerKinds = new TreeMap<>();
    private final TreeMap<Integer, GroupTally> seconds = new TreeMap<>();
    private final Map<String, Long> nodes = new TreeMap<>();
    private final Map<String, KeyedRequest> keys = new HashMap<>();
    private final List<LoadReport.Miss> misses = new ArrayList<>();
    private final List<String> notRun = new ArrayList<>();
    private final List<LoadReport.FaultReport> faults = new ArrayList<>();
    private final Histogram sendLag = new Histogram(SIGNIFICANT_DIGITS);
    private long wrongRequest;
    private long tooShort;
    private long doubled;
    private long retried;

    /**
     * The end of a request.
     *
     * @param key its idempotency key; empty if it has none
     * @param node the node it was last sent to; empty if none was ready
     * @param retried whether it was retried
     * @param wholeNanos the time from the scheduled send time to the end
     */
    record Ending(
            String request,
            String key,
            String node,
            boolean retried,
            Outcome outcome,
            AnswerCheck check,
            long wholeNanos) {}

    private record KeyedRequest(Arrival arrival, Ending ending) {}

    Recorder(LoadFile file, long seed) {
        this.file = file;
        this.seed = seed;
    }

    synchronized void sent(long lagNanos) {
        sendLag.recordValue(Math.max(0, lagNanos) / NANOS_PER_MICRO);
    }

    synchronized void dispatched(String node) {
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

    synchronized void retried() {
        retried++;
    }

    /** Records the end of a request. */
    synchronized void end(Arrival arrival, Ending ending) {
        Outcome outcome = ending.outcome();
        double worth = arrival.customer().worth(arrival.kind());
        for (GroupTally group : groups(arrival)) {
            group.end(outcome, worth, ending.wholeNanos());
        }
        int second = (int) (arrival.atNanos() / NANOS_PER_SECOND);
        seconds.computeIfAbsent(second, unused -> new GroupTally()).end(outcome, worth, ending.wholeNanos());
        AnswerCheck check = ending.check();
        wrongRequest += check.wrongRequest() ? 1 : 0;
        tooShort += check.tooShort() ? 1 : 0;
        doubled += check.doubled() ? 1 : 0;
        if (!ending.key().isEmpty()) {
            keys.put(ending.key(), new KeyedRequest(arrival, ending));
        }
        if (outcome instanceof Outcome.Refused refusal && refusal.notRun()) {
            notRun.add(ending.request());
        }
        if (isMeasured(arrival) && misses.size() < MAX_MISSES) {
            describe(ending).ifPresent(text -> misses.add(miss(arrival, ending, text)));
        }
    }

    private static Optional<String> describe(Ending ending) {
        return switch (ending.outcome()) {
            case Outcome.Served served -> served.inTime() ? Optional.empty() : Optional.of("late");
            case Outcome.Refused refusal -> Optional.of("refused " + refusal.code() + " " + refusal.run());
            case Outcome.Lost loss -> Optional.of("lost: " + loss.reason());
        };
    }

    private static LoadReport.Miss miss(Arrival arrival, Ending ending, String text) {
        return new LoadReport.Miss(
                arrival.atNanos() / NANOS_PER_MILLI,
                ending.wholeNanos() / NANOS_PER_MILLI,
                ending.request(),
                ending.key(),
                arrival.customer().name(),
                arrival.kind().name(),
                ending.node(),
                ending.retried(),
                text);
    }

    synchronized void fault(LoadReport.FaultReport fault) {
        faults.add(fault);
    }

    /**
     * Returns the report of the run.
     *
     * @param executions the number of executions of each key according to the ledgers; keys are as sent by the caller or
     *     prefixed with the customer and a slash; empty if there are no ledgers
     */
    synchronized LoadReport report(Map<String, Integer> executions) {
        double duration = file.duration().minus(file.warmUp()).toNanos() / (double) NANOS_PER_SECOND;
        GroupReport all = total.report();
        TruthErrors truth = truth(executions);
        return new LoadReport(
                seed,
                file.duration().toMillis(),
                file.warmUp().toMillis(),
                all.offered() / duration,
                all,
                reports(customers),
                reports(kinds),
                reports(customerKinds),
                truth,
                retried,
                nodes,
                Percentiles.of(sendLag),
                List.copyOf(faults),
                seconds(),
                misses,
                notRun);
    }

    private TruthErrors truth(Map<String, Integer> executions) {
        long doubleRuns = 0;
        long falseNotRun = 0;
        long servedNotRun = 0;
        if (file.ledgers().isEmpty()) {
            return new TruthErrors(wrongRequest, tooShort, doubled, 0, 0, 0);
        }
        for (Map.Entry<String, KeyedRequest> entry : keys.entrySet()) {
            String customer = entry.getValue().arrival().customer().name();
            int times = executions.getOrDefault(entry.getKey(), 0)
                    + executions.getOrDefault(customer + "/" + entry.getKey(), 0);
            Outcome outcome = entry.getValue().ending().outcome();
            boolean ranTwice = times > 1;
            boolean ranDespiteNotRun = times > 0 && outcome instanceof Outcome.Refused refusal && refusal.notRun();
            boolean neverRan = times == 0 && outcome instanceof Outcome.Served;
            doubleRuns += ranTwice ? 1 : 0;
            falseNotRun += ranDespiteNotRun ? 1 : 0;
            servedNotRun += neverRan ? 1 : 0;
            if (ranTwice || ranDespiteNotRun || neverRan) {
                Ending ending = entry.getValue().ending();
                misses.add(
                        miss(entry.getValue().arrival(), ending, "untrue: executed " + times + " times, " + outcome));
            }
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

    /** Returns the groups in which a request is counted; none during the warm-up. */
    private List<GroupTally> groups(Arrival arrival) {
        if (!isMeasured(arrival)) {
            return List.of();
        }
        GroupTally customer = customers.computeIfAbsent(arrival.customer().name(), unused -> new GroupTally());
        GroupTally kind = kinds.computeIfAbsent(arrival.kind().name(), unused -> new GroupTally());
        String both = arrival.customer().name() + "/" + arrival.kind().name();
        GroupTally customerKind = customerKinds.computeIfAbsent(both, unused -> new GroupTally());
        return List.of(total, customer, kind, customerKind);
    }

    private boolean isMeasured(Arrival arrival) {
        return arrival.atNanos() >= file.warmUp().toNanos();
    }

    private static Map<String, GroupReport> reports(Map<String, GroupTally> groups) {
        Map<String, GroupReport> reports = new TreeMap<>();
        groups.forEach((name, group) -> reports.put(name, group.report()));
        return reports;
    }
}
