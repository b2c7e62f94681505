package org.wagtaillug.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Ownership;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Decision;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;

/**
 * Brings the engines that this node owns to the models that the plan gives them.
 *
 * <p>What each engine is to serve is the same at all nodes, see {@link PlacementPlan}; only the engine's owner orders it
 * there. The failures it guards against:
 *
 * <ul>
 *   <li>Two nodes give one engine different orders, and it loads back and forth. Only the owner issues orders, and only
 *       while it may grant: by then every right of the owner before has lapsed, which also holds for engines that do not
 *       check fencing numbers. For those that do, each order carries the offset that made this node the owner.
 *   <li>Requests for a model find no engine, because its last copy was switched to another model or version. An engine is
 *       switched only while another one in service reports the model and will not be switched before this one has done.
 *   <li>Many engines load at once and the weight store becomes the bottleneck. An owner has one load at a time under way
 *       and begins them at a distance that grows with the number of owners.
 * </ul>
 *
 * <p>An order is repeated while the engine's report does not show its effect; an engine that has it done already ignores
 * it.
 */
public final class Placement {
    /** The mean time between two loads of all nodes together: the weight store's rate is shared by all. */
    public static final Duration FLEET_LOAD_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPEAT = Duration.ofSeconds(5);
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REPORT_FRESH = Duration.ofSeconds(5);

    private final Ownership ownership;
    private final Configuration configuration;
    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, Seen> reports = new HashMap<>();
    private final Map<VmId, String> held = new HashMap<>();
    private List<Vm> plannedEngines = List.of();
    private List<PlacementContract> plannedPlacements = List.of();
    private Map<VmId, PlacementContract> planned = Map.of();
    private Optional<Order> current = Optional.empty();
    private Instant nextLoad = Instant.MIN;

    private record Seen(LoadReport report, Instant at) {}

    private record Order(VmId engine, PlacementContract wanted, Instant issued, Instant repeatAt) {}

    /** Starts with no engine known. */
    public Placement(Ownership ownership, Configuration configuration) {
        this.ownership = ownership;
        this.configuration = configuration;
    }

    /** Takes in the platform's list. */
    public void onVmList(List<Vm> vms, Instant now) {
        listed.clear();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                listed.put(vm.id(), vm);
            }
        }
        reports.keySet().retainAll(listed.keySet());
        held.keySet().retainAll(listed.keySet());
    }

    /** Takes in what an engine reports, to this node or, passed on, to another; an older report changes nothing. */
    public void onLoadReport(VmId upstream, LoadReport report, Instant now) {
        Seen before = reports.get(upstream);
        if (before != null && report.equals(before.report())) {
            return;
        }
        boolean sameStart = before != null && before.report().startedAt().equals(report.startedAt());
        if (sameStart && report.reportedAt().isBefore(before.report().reportedAt())) {
            return;
        }
        reports.put(upstream, new Seen(report, now));
    }

    /** Takes in an engine's answer to an order. One that was refused is decided anew after a while. */
    public void onOrderEnded(VmId upstream, boolean accepted, Instant now, Effects effects) {
        if (accepted || current.isEmpty() || !current.get().engine().equals(upstream)) {
            return;
        }
        current = Optional.empty();
        nextLoad = now.plus(REPEAT);
        effects.add(new Effect.LogDecision(Decision.builder("order-refused")
                .field("engine", upstream)
                .field("again", "in " + REPEAT.toSeconds() + " s")
                .build()));
    }

    /** Repeats the order under way, or issues the next one if there is one to issue. */
    public void onTick(Instant now, Effects effects) {
        Map<VmId, PlacementContract> plan = plan();
        if (current.isPresent()) {
            follow(current.get(), plan, now, effects);
            return;
        }
        if (now.isBefore(nextLoad)) {
            return;
        }
        for (Map.Entry<VmId, PlacementContract> each : plan.entrySet()) {
            Vm engine = listed.get(each.getKey());
            if (!due(engine, each.getValue(), now)) {
                held.remove(engine.id());
                continue;
            }
            Optional<String> objection = objection(engine, plan, now);
            if (objection.isPresent()) {
                logHeld(engine, each.getValue(), objection.get(), effects);
                continue;
            }
            held.remove(engine.id());
            begin(engine, each.getValue(), now, effects);
            return;
        }
    }

    /** What each engine in service is to serve; the same at every node with the same configuration and list. */
    public Map<VmId, PlacementContract> plan() {
        List<Vm> engines = new ArrayList<>();
        for (Vm vm : listed.values()) {
            if (!vm.leaving() && configuration.inService(vm)) {
                engines.add(vm);
            }
        }
        List<PlacementContract> placements = List.copyOf(configuration.placements());
        if (!engines.equals(plannedEngines) || !placements.equals(plannedPlacements)) {
            planned = PlacementPlan.of(placements, engines);
            plannedEngines = engines;
            plannedPlacements = placements;
        }
        return planned;
    }

    private boolean due(Vm engine, PlacementContract wanted, Instant now) {
        Optional<LoadReport> report = fresh(engine.id(), now);
        boolean mine = ownership.ownerOf(engine).equals(Optional.of(ownership.self()));
        return mine && ownership.mayGrant(engine, now) && report.isPresent() && !serves(report.get(), wanted);
    }

    /** Why an engine may not be switched now; empty if it may. */
    private Optional<String> objection(Vm engine, Map<VmId, PlacementContract> plan, Instant now) {
        Optional<ModelId> present = fresh(engine.id(), now).get().model();
        if (present.isEmpty() || !wantedAtAll(present.get())) {
            return Optional.empty();
        }
        for (Map.Entry<VmId, PlacementContract> other : plan.entrySet()) {
            if (other.getKey().equals(engine.id())) {
                continue;
            }
            Optional<LoadReport> report = fresh(other.getKey(), now);
            if (report.isEmpty() || !report.get().model().equals(present)) {
                continue;
            }
            // Two owners that each rely on the other's engine would take both copies. One that is still to be switched
            // counts only for engines before it, so of two such engines just one may go.
            boolean stays = serves(report.get(), other.getValue());
            if (stays || other.getKey().compareTo(engine.id()) > 0) {
                return Optional.empty();
            }
        }
        return Optional.of("last copy in service of " + present.get());
    }

    private boolean wantedAtAll(ModelId model) {
        for (PlacementContract placement : configuration.placements()) {
            if (placement.model().equals(model)) {
                return true;
            }
        }
        return false;
    }

    private void begin(Vm engine, PlacementContract wanted, Instant now, Effects effects) {
        current = Optional.of(new Order(engine.id(), wanted, now, now.plus(REPEAT)));
        int owners = Math.max(1, ownership.members().size());
        nextLoad = now.plus(FLEET_LOAD_INTERVAL.multipliedBy(owners));
        issue(engine, wanted, "planned", now, effects);
    }

    private void follow(Order order, Map<VmId, PlacementContract> plan, Instant now, Effects effects) {
        Vm engine = listed.get(order.engine());
        boolean stillPlanned = order.wanted().equals(plan.get(order.engine()));
        boolean expired = !now.isBefore(order.issued().plus(LOAD_TIMEOUT));
        if (engine == null || !stillPlanned || expired) {
            current = Optional.empty();
            return;
        }
        Optional<LoadReport> report = fresh(order.engine(), now);
        if (report.isPresent() && serves(report.get(), order.wanted())) {
            current = Optional.empty();
            return;
        }
        if (now.isBefore(order.repeatAt()) || !due(engine, order.wanted(), now)) {
            return;
        }
        if (objection(engine, plan, now).isPresent()) {
            current = Optional.empty();
            return;
        }
        current = Optional.of(new Order(order.engine(), order.wanted(), order.issued(), now.plus(REPEAT)));
        issue(engine, order.wanted(), "repeated", now, effects);
    }

    private void issue(Vm engine, PlacementContract wanted, String reason, Instant now, Effects effects) {
        long fencingNumber = ownership.fencingNumber(engine);
        effects.add(new Effect.SendOrder(engine.id(), true, wanted.model(), wanted.version(), fencingNumber));
        Decision.Builder decision = Decision.builder("order")
                .field("engine", engine.id())
                .field("model", wanted.model())
                .field("version", wanted.version())
                .field("fencing", fencingNumber)
                .field("reason", reason);
        Optional<LoadReport> report = fresh(engine.id(), now);
        decision.field(
                "before", report.flatMap(LoadReport::model).map(ModelId::value).orElse("none"));
        effects.add(new Effect.LogDecision(decision.build()));
    }

    /** One line when an order is first held back for a reason, not one a tick. */
    private void logHeld(Vm engine, PlacementContract wanted, String reason, Effects effects) {
        if (reason.equals(held.put(engine.id(), reason))) {
            return;
        }
        effects.add(new Effect.LogDecision(Decision.builder("order-held")
                .field("engine", engine.id())
                .field("model", wanted.model())
                .field("version", wanted.version())
                .field("reason", reason)
                .build()));
    }

    private Optional<LoadReport> fresh(VmId engine, Instant now) {
        Seen seen = reports.get(engine);
        if (seen == null || !now.isBefore(seen.at().plus(REPORT_FRESH))) {
            return Optional.empty();
        }
        return Optional.of(seen.report());
    }

    private static boolean serves(LoadReport report, PlacementContract wanted) {
        return report.model().equals(Optional.of(wanted.model())) && report.modelVersion() == wanted.version();
    }
}
