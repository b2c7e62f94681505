package org.wagtaillug.standin.experiment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.wagtaillug.standin.Layout;
import org.wagtaillug.standin.StandInKind;
import org.wagtaillug.standin.http.Json;
import org.wagtaillug.standin.load.LoadFile;
import org.wagtaillug.standin.options.EngineOptions;
import org.wagtaillug.standin.platform.Vm;

/**
 * One run, worked out: at which rate, with which faults and actions.
 *
 * @param layout the firm's stand-ins
 * @param base the firm's load
 * @param scenarios what happens, all at once
 * @param askedRate the rate that is asked for; absent for {@link #SHARE_OF_CAPACITY} of the engines' capacity
 */
record Plan(Layout layout, LoadFile base, List<Scenario> scenarios, OptionalDouble askedRate) {
    /** Which share of the engines' capacity the load takes if no rate is asked for. */
    static final double SHARE_OF_CAPACITY = 0.6;

    private static final int EACH_OF = 3;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns how many requests a second the engines bear: their slots, divided by the time for which a request of the
     * mean kind takes one. A kind takes an engine's slot if it names its tokens; no prefix is taken to be cached.
     */
    double capacity() {
        double slots = 0;
        double slotSecondsOfRequest = 0;
        for (Layout.Entry entry : engines()) {
            slots += ((EngineOptions) entry.options()).slots();
        }
        EngineOptions engine = (EngineOptions) engines().get(0).options();
        double shares = 0;
        for (LoadFile.Kind kind : base.kinds()) {
            shares += kind.share();
            if (kind.maxTokens() == null) {
                continue;
            }
            double millis = engine.firstTokenMillis() + (double) kind.maxTokens() * engine.tokenMillis();
            slotSecondsOfRequest += kind.share() * millis / MILLIS_PER_SECOND;
        }
        return slots * shares / slotSecondsOfRequest;
    }

    /** Returns the requests a second of this run. */
    double rate() {
        return askedRate.orElseGet(() -> SHARE_OF_CAPACITY * capacity());
    }

    /** Returns the timed calls of all scenarios, with times from the start of sending. */
    List<LoadFile.TimedCall> calls() {
        List<LoadFile.TimedCall> calls = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            for (Scenario.TargetedFault fault : scenario.faults()) {
                for (Layout.Entry entry : chosen(fault.on())) {
                    calls.add(fault.leaving() ? leaving(fault, entry) : switched(fault, entry));
                }
            }
        }
        return calls;
    }

    /** Returns the upstreams that the scenarios mark as leaving. */
    Set<String> leaving() {
        Set<String> names = new HashSet<>();
        for (Scenario scenario : scenarios) {
            for (Scenario.TargetedFault fault : scenario.faults()) {
                if (!fault.leaving()) {
                    continue;
                }
                chosen(fault.on()).forEach(entry -> names.add(entry.name()));
            }
        }
        return names;
    }

    /** Returns a line for each action: the time from the start of sending in milliseconds, and what to do. */
    List<String> actionLines() {
        List<Scenario.Action> actions = new ArrayList<>();
        scenarios.forEach(scenario -> actions.addAll(scenario.actions()));
        actions.sort(Comparator.comparing(Scenario.Action::at));
        List<String> lines = new ArrayList<>();
        lines.add(base.warmUp().toMillis() + " metrics start");
        for (Scenario.Action action : actions) {
            lines.add(fromStart(action.at()).toMillis() + " " + action.words(secondDomain()));
        }
        return lines;
    }

    /** Returns a line for each upstream: its name and its address. */
    List<String> upstreamLines() {
        List<String> lines = new ArrayList<>();
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind().isUpstream()) {
                lines.add(entry.name() + " " + url(entry, ""));
            }
        }
        return lines;
    }

    /** Writes the run's load into the tree of the firm's load file. */
    void complete(ObjectNode load) {
        load.put("rate", rate());
        for (Scenario scenario : scenarios) {
            LoadFile.Burst burst = scenario.burst();
            if (burst == null) {
                continue;
            }
            load.putObject("burst")
                    .put("at", text(fromStart(burst.at())))
                    .put("for", text(burst.length()))
                    .put("factor", burst.factor());
        }
        ArrayNode ledgers = load.putArray("ledgers");
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind() == StandInKind.SERVICE) {
                ledgers.add(url(entry, ""));
            }
        }
        ArrayNode faults = load.putArray("faults");
        for (LoadFile.TimedCall call : calls()) {
            faults.addObject()
                    .put("at", text(call.at()))
                    .put("url", call.url().toString())
                    .put("method", call.method())
                    .set("body", call.body());
        }
    }

    /** The failure domain that is taken out: the second, so that the first entries of the pools stay. */
    String secondDomain() {
        Set<String> domains = new LinkedHashSet<>();
        engines().forEach(entry -> domains.add(entry.domain()));
        List<String> ordered = List.copyOf(domains);
        return ordered.get(Math.min(1, ordered.size() - 1));
    }

    private LoadFile.TimedCall switched(Scenario.TargetedFault fault, Layout.Entry entry) {
        return new LoadFile.TimedCall(fromStart(fault.at()), URI.create(url(entry, "/faults")), "POST", fault.body());
    }

    private LoadFile.TimedCall leaving(Scenario.TargetedFault fault, Layout.Entry entry) {
        Vm vm = new Vm(
                entry.name(),
                "upstream",
                entry.pool(),
                entry.domain(),
                entry.region(),
                entry.options().address(),
                entry.options().port(),
                "leaving");
        String url = url(only(StandInKind.VMS), "/vms/" + entry.name());
        return new LoadFile.TimedCall(
                fromStart(fault.at()), URI.create(url), "PUT", Json.mapper().valueToTree(vm));
    }

    private List<Layout.Entry> chosen(Scenario.Target target) {
        return switch (target) {
            case ONE_OF_EACH_POOL -> firstOfEachPool();
            case THIRD_OF_ENGINES -> thirdOfEngines();
            case LOG -> List.of(only(StandInKind.LOG));
        };
    }

    private List<Layout.Entry> firstOfEachPool() {
        List<Layout.Entry> first = new ArrayList<>();
        Set<String> pools = new HashSet<>();
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind().isUpstream() && pools.add(entry.pool())) {
                first.add(entry);
            }
        }
        return first;
    }

    private List<Layout.Entry> thirdOfEngines() {
        List<Layout.Entry> engines = engines();
        return engines.subList(0, (engines.size() + EACH_OF - 1) / EACH_OF);
    }

    private List<Layout.Entry> engines() {
        List<Layout.Entry> engines = new ArrayList<>();
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind() == StandInKind.ENGINE) {
                engines.add(entry);
            }
        }
        return engines;
    }

    private Layout.Entry only(StandInKind kind) {
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind() == kind) {
                return entry;
            }
        }
        throw new IllegalArgumentException("the layout has no " + kind.optionName());
    }

    private Duration fromStart(Duration fromWarm) {
        return base.warmUp().plus(fromWarm);
    }

    private static String url(Layout.Entry entry, String path) {
        return "http://" + entry.options().address() + ":" + entry.options().port() + path;
    }

    private static String text(Duration duration) {
        return duration.toMillis() + "ms";
    }
}
