package org.wagtaillug.standin.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wagtaillug.standin.load.GroupReport;
import org.wagtaillug.standin.load.LoadReport;
import org.wagtaillug.standin.upstream.Counters;

/** Computes the report of a run from the content of its folder. */
final class Summary {
    private static final String COMPLETED = "Completed";
    private static final String END = "end";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final RunFolder folder;

    private Summary(RunFolder folder) {
        this.folder = folder;
    }

    static RunReport of(RunFolder folder) {
        return new Summary(folder).report();
    }

    private RunReport report() {
        Map<String, MetricsText> deltas = metricsSinceWarmUp();
        List<RunReport.StageCost> stages = stages(deltas);
        RunReport.ColdStart cold = cold();
        List<RunReport.NodeCost> nodes = nodes(deltas);
        long notRunThatRan = notRunThatRan();
        return new RunReport(
                folder.facts(),
                figures(stages, cold, nodes, notRunThatRan),
                folder.load(),
                stages,
                cold,
                newWork(),
                notRunThatRan,
                nodes,
                folder.digests());
    }

    /** Returns the metrics of each node since the warm-up, without nodes that did not answer at the end. */
    private Map<String, MetricsText> metricsSinceWarmUp() {
        Map<String, MetricsText> deltas = new TreeMap<>();
        MetricsText none = new MetricsText(List.of());
        folder.last().nodes().forEach((node, last) -> {
            MetricsText first = folder.first().nodes().getOrDefault(node, none);
            deltas.put(node, last.since(first));
        });
        return deltas;
    }

    private static List<RunReport.StageCost> stages(Map<String, MetricsText> deltas) {
        Map<String, StageTally> tallies = new TreeMap<>();
        double answers = 0;
        for (MetricsText node : deltas.values()) {
            answers += node.sum("wagtaillug_answers_total");
            for (MetricsText.Sample sample : node.samples()) {
                String stage = sample.label("stage");
                switch (sample.name()) {
                    case "wagtaillug_attempts_total" ->
                        tallies.computeIfAbsent(stage, unused -> new StageTally()).attempts += sample.value();
                    case "wagtaillug_stage_seconds_total" ->
                        tallies.computeIfAbsent(stage, unused -> new StageTally())
                                .add(sample.label("end"), sample.value());
                    default -> {
                        continue;
                    }
                }
            }
        }
        List<RunReport.StageCost> costs = new ArrayList<>();
        for (Map.Entry<String, StageTally> entry : tallies.entrySet()) {
            costs.add(entry.getValue().cost(entry.getKey(), answers));
        }
        return costs;
    }

    private static final class StageTally {
        private double attempts;
        private double seconds;
        private double wasted;

        private void add(String end, double taken) {
            seconds += taken;
            wasted += end.equals(COMPLETED) ? 0 : taken;
        }

        private RunReport.StageCost cost(String stage, double answers) {
            return new RunReport.StageCost(
                    stage, attempts, ratio(attempts, answers), seconds, wasted, ratio(wasted, seconds));
        }
    }

    private RunReport.ColdStart cold() {
        Map<String, Counters> counters = folder.counters().getOrDefault(END, Map.of());
        long fellOver = 0;
        long hits = 0;
        long prompts = 0;
        List<RunReport.Breach> breaches = new ArrayList<>();
        for (RunFacts.UpstreamFacts upstream : folder.facts().upstreams()) {
            Counters counted = counters.get(upstream.name());
            if (counted == null) {
                continue;
            }
            fellOver += counted.fellOver();
            hits += counted.prefixHits();
            prompts += counted.prefixHits() + counted.prefixMisses();
            long peak = counted.peakRunningWhileCold();
            if (upstream.coldLimit() > 0 && peak > upstream.coldLimit()) {
                breaches.add(new RunReport.Breach(upstream.name(), upstream.coldLimit(), peak));
            }
        }
        return new RunReport.ColdStart(fellOver, breaches, ratio(hits, prompts));
    }

    /** Returns the number of requests refused as not run although an upstream executed one of their stages. */
    private long notRunThatRan() {
        Set<String> executed = new HashSet<>();
        for (Counters counters : folder.counters().getOrDefault(END, Map.of()).values()) {
            executed.addAll(counters.byRequest().keySet());
        }
        long ran = 0;
        for (String request : folder.load().notRun()) {
            ran += executed.contains(request) ? 1 : 0;
        }
        return ran;
    }

    private List<RunReport.NewWork> newWork() {
        List<RunReport.NewWork> work = new ArrayList<>();
        Map<String, Counters> beforeBack = folder.counters().getOrDefault("before-back", Map.of());
        Map<String, Counters> afterLeaving = folder.counters().getOrDefault("after-leaving", Map.of());
        for (RunFacts.UpstreamFacts upstream : folder.facts().upstreams()) {
            boolean domainIsOut = upstream.domain().equals(folder.facts().domain())
                    && folder.domainOutAt().isPresent();
            Counters out = beforeBack.get(upstream.name());
            if (domainIsOut && gotWork(out)) {
                work.add(newWork(
                        upstream, "domain-out", out, folder.domainOutAt().getAsLong()));
            }
            Counters left = afterLeaving.get(upstream.name());
            if (upstream.leaves() && gotWork(left)) {
                work.add(newWork(upstream, "leaving", left, leavingAt(upstream.name())));
            }
        }
        return work;
    }

    private static RunReport.NewWork newWork(RunFacts.UpstreamFacts upstream, String why, Counters counters, long at) {
        return new RunReport.NewWork(upstream.name(), why, counters.lastTakenAt() - at);
    }

    private static boolean gotWork(Counters counters) {
        return counters != null && counters.lastTakenAt() > 0;
    }

    private long leavingAt(String upstream) {
        for (LoadReport.FaultReport fault : folder.load().faults()) {
            if (fault.url().endsWith("/vms/" + upstream)) {
                return folder.startedAt() + fault.atMillis();
            }
        }
        return folder.startedAt();
    }

    private List<RunReport.NodeCost> nodes(Map<String, MetricsText> deltas) {
        double seconds = (folder.last().atMillis() - folder.first().atMillis()) / MILLIS_PER_SECOND;
        List<RunReport.NodeCost> costs = new ArrayList<>();
        for (Map.Entry<String, MetricsText> entry : deltas.entrySet()) {
            MetricsText used = entry.getValue();
            MetricsText last = folder.last().nodes().get(entry.getKey());
            costs.add(new RunReport.NodeCost(
                    entry.getKey(),
                    ratio(used.sum("wagtaillug_control_cpu_seconds"), seconds),
                    ratio(used.sum("wagtaillug_process_cpu_seconds"), seconds),
                    ratio(used.sum("wagtaillug_link_bytes"), seconds),
                    last.sum("wagtaillug_heap_bytes") / BYTES_PER_MEGABYTE));
        }
        return costs;
    }

    private List<RunReport.Figure> figures(
            List<RunReport.StageCost> stages,
            RunReport.ColdStart cold,
            List<RunReport.NodeCost> nodes,
            long notRunThatRan) {
        GroupReport total = folder.load().total();
        double attempts = 0;
        double seconds = 0;
        double wasted = 0;
        for (RunReport.StageCost stage : stages) {
            attempts += stage.attemptsPerAnswer();
            seconds += stage.seconds();
            wasted += stage.wastedSeconds();
        }
        double control = 0;
        double link = 0;
        for (RunReport.NodeCost node : nodes) {
            control = Math.max(control, node.controlShare());
            link = Math.max(link, node.linkBytesPerSecond());
        }
        List<RunReport.Figure> figures = new ArrayList<>();
        add(figures, "served in time, % of offered", total.attainment() * 100);
        add(figures, "worth served, % of offered", ratio(total.worthServed(), total.worthOffered()) * 100);
        add(figures, "late", total.late());
        add(figures, "lost", total.lost());
        add(figures, "refused", total.refused());
        add(figures, "refused as not run", total.refusedByRun().getOrDefault("not-run", 0L));
        add(figures, "refused as unknown", total.refusedByRun().getOrDefault("unknown", 0L));
        add(figures, "errors of truth", folder.load().truth().sum() + notRunThatRan);
        add(figures, "whole answer p50, ms", total.wholeMillis().p50());
        add(figures, "whole answer p95, ms", total.wholeMillis().p95());
        add(figures, "whole answer p99, ms", total.wholeMillis().p99());
        add(figures, "first token p95, ms", total.firstTokenMillis().p95());
        add(figures, "between tokens p95, ms", total.betweenTokensMillis().p95());
        add(figures, "attempts per answer", attempts);
        add(figures, "stage seconds", seconds);
        add(figures, "wasted stage seconds, %", ratio(wasted, seconds) * 100);
        add(figures, "fell over while cold", cold.fellOver());
        add(figures, "given too much while cold", cold.breaches().size());
        add(figures, "prefixes found cached, %", cold.prefixHits() * 100);
        add(figures, "control of a core, most of a node, %", control * 100);
        add(figures, "link, most of a node, B/s", link);
        return figures;
    }

    private static void add(List<RunReport.Figure> figures, String name, double value) {
        figures.add(new RunReport.Figure(name, value));
    }

    private static double ratio(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }
}
