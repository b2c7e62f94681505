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
 * The plan of one run: its rate, faults and actions.
 *
 * @param layout the stand-ins of the firm
 * @param base the load of the firm
 * @param scenarios the scenarios, which all apply to the same run
 * @param askedRate the requested rate; absent for {@link #SHARE_OF_CAPACITY} of the engines' capacity
 */
record Plan(Layout layout, LoadFile base, List<Scenario> scenarios, OptionalDouble askedRate) {
    /** The share of the engines' capacity that the load uses if no rate is requested. */
    static final double SHARE_OF_CAPACITY = 0.6;

    private static final int ENGINE_DIVISOR = 3;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the capacity of the engines in requests per second: their slots, divided by the mean time for which a request
     * occupies a slot. A kind uses an engine if it specifies the number of tokens; prefixes are assumed not to be cached.
     */
    double capacity() {
        double slots = 0;
        double weightedSlotSeconds = 0;
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
            weightedSlotSeconds += kind.share() * millis / MILLIS_PER_SECOND;
        }
        return slots * shares / weightedSlotSeconds;
    }

    /** Returns the request rate of this run, per second. */
    double rate() {
        return askedRate.orElseGet(() -> SHARE_OF_CAPACITY * capacity());
    }

    /** Returns the timed calls of all scenarios, with times relative to the start of sending. */
    List<LoadFile.TimedCall> calls() {
        List<LoadFile.TimedCall> calls = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            for (Scenario.TargetedFault fault : scenario.faults()) {
                for (Layout.Entry entry : targets(fault.on())) {
                    calls.add(fault.leaving() ? leavingCall(fault, entry) : faultCall(fault, entry));
                }
            }
        }
        return calls;
    }

    /** Returns the names of the upstreams that the scenarios mark as leaving. */
    Set<String> leaving() {
        Set<String> names = new HashSet<>();
        for (Scenario scenario : scenarios) {
            for (Scenario.TargetedFault fault : scenario.faults()) {
                if (!fault.leaving()) {
                    continue;
                }
                targets(fault.on()).forEach(entry -> names.add(entry.name()));
            }
        }
        return names;
    }

    /** Returns one line per action: the time since the start of sending in milliseconds, and the action for the script. */
    List<String> actionLines() {
        List<Scenario.Action> actions = new ArrayList<>();
        scenarios.forEach(scenario -> actions.addAll(scenario.actions()));
        actions.sort(Comparator.comparing(Scenario.Action::at));
        List<String> lines = new ArrayList<>();
        lines.add(base.warmUp().toMillis() + " metrics start");
        for (Scenario.Action action : actions) {
            lines.add(sinceStart(action.at()).toMillis() + " " + action.scriptLine(secondDomain()));
        }
        return lines;
    }

    /** Returns one line per upstream: its name and its base URL. */
    List<String> upstreamLines() {
        List<String> lines = new ArrayList<>();
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind().isUpstream()) {
                lines.add(entry.name() + " " + url(entry, ""));
            }
        }
        return lines;
    }

    /** Adds the rate, bursts, ledgers and faults of this run to the tree of the firm's load file. */
    void applyTo(ObjectNode load) {
        load.put("rate", rate());
        for (Scenario scenario : scenarios) {
            LoadFile.Burst burst = scenario.burst();
            if (burst == null) {
                continue;
            }
            load.putObject("burst")
                    .put("at", text(sinceStart(burst.at())))
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

    /**
     * Returns the failure domain that is taken out of service: the second one, so that the first servers of the pools
     * remain.
     */
    String secondDomain() {
        Set<String> domains = new LinkedHashSet<>();
        engines().forEach(entry -> domains.add(entry.domain()));
        List<String> ordered = List.copyOf(domains);
        return ordered.get(Math.min(1, ordered.size() - 1));
    }

    private LoadFile.TimedCall faultCall(Scenario.TargetedFault fault, Layout.Entry entry) {
        return new LoadFile.TimedCall(sinceStart(fault.at()), URI.create(url(entry, "/faults")), "POST", fault.body());
    }

    private LoadFile.TimedCall leavingCall(Scenario.TargetedFault fault, Layout.Entry entry) {
        Vm vm = new Vm(
                entry.name(),
                "upstream",
                entry.pool(),
                entry.domain(),
                entry.region(),
                entry.options().address(),
                entry.options().port(),
                "leaving");
        String url = url(single(StandInKind.VMS), "/vms/" + entry.name());
        return new LoadFile.TimedCall(
                sinceStart(fault.at()), URI.create(url), "PUT", Json.mapper().valueToTree(vm));
    }

    private List<Layout.Entry> targets(Scenario.Target target) {
        return switch (target) {
            case ONE_OF_EACH_POOL -> firstOfEachPool();
            case THIRD_OF_ENGINES -> thirdOfEngines();
            case LOG -> List.of(single(StandInKind.LOG));
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
        return engines.subList(0, (engines.size() + ENGINE_DIVISOR - 1) / ENGINE_DIVISOR);
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

    private Layout.Entry single(StandInKind kind) {
        for (Layout.Entry entry : layout.standIns()) {
            if (entry.kind() == kind) {
                return entry;
            }
        }
        throw new IllegalArgumentException("the layout has no " + kind.optionName());
    }

    private Duration sinceStart(Duration sinceWarmUp) {
        return base.warmUp().plus(sinceWarmUp);
    }

    private static String url(Layout.Entry entry, String path) {
        return "http://" + entry.options().address() + ":" + entry.options().port() + path;
    }

    private static String text(Duration duration) {
        return duration.toMillis() + "ms";
    }
}
