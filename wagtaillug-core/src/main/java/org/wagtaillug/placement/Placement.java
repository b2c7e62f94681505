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
 * Makes the engines that this node owns load the models that the placement plan assigns to them.
 *
 * <p>All nodes compute the same plan, see {@link PlacementPlan}, but only the owner of an engine issues load orders to
 * it. Guards against these failures:
 *
 * <ul>
 *   <li>Two nodes send an engine conflicting orders, and it switches models back and forth. Only the owner issues
 *       orders, and only while it may grant: by then all rights of the previous owner have expired, so this also works
 *       for engines that do not check fencing numbers. For those that do, each order carries the offset at which this
 *       node became the owner.
 *   <li>Requests for a model find no engine, because its last copy was switched to another model or version. An engine
 *       is switched only while another engine in service reports the model and will not be switched before this one
 *       has finished.
 *   <li>Many engines load at once and the weight store becomes the bottleneck. An owner has one load in progress at a
 *       time, and starts loads at an interval that grows with the number of owners.
 * </ul>
 *
 * <p>An order is repeated until the engine's load report shows its effect. Orders are idempotent: an engine that has
 * already executed one ignores it.
 */
public final class Placement {
    /** The mean interval between loads across all nodes, which share the bandwidth of the weight store. */
    public static final Duration FLEET_LOAD_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(5);
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(5);

    private final Ownership ownership;
    private final Configuration configuration;
    private final Map<VmId, Vm> listedEngines = new TreeMap<>();
    private final Map<VmId, ReceivedReport> reports = new HashMap<>();
    private final Map<VmId, String> heldBackReasons = new HashMap<>();
    private List<Vm> plannedEngines = List.of();
    private List<PlacementContract> plannedPlacements = List.of();
    private Map<VmId, PlacementContract> planned = Map.of();
    private Optional<Order> pending = Optional.empty();
    private Instant nextLoad = Instant.MIN;

    private record ReceivedReport(LoadReport report, Instant at) {}

    private record Order(VmId engine, PlacementContract wanted, Instant issued, Instant repeatAt) {}

    /** Creates a placement that knows no engine yet. */
    public Placement(Ownership ownership, Configuration configuration) {
        this.ownership = ownership;
        this.configuration = configuration;
    }

    /** Updates the known engines from the platform's VM list. */
    public void onVmList(List<Vm> vms, Instant now) {
        listedEngines.clear();
        for (Vm vm : vms) {
            if (vm.upstream()) {
                listedEngines.put(vm.id(), vm);
            }
        }
        reports.keySet().retainAll(listedEngines.keySet());
        heldBackReasons.keySet().retainAll(listedEngines.keySet());
    }

    /**
     * Processes a load report of an engine, received directly or relayed by another node; outdated reports are ignored.
     */
    public void onLoadReport(VmId upstream, LoadReport report, Instant now) {
        ReceivedReport previous = reports.get(upstream);
        if (previous != null && report.equals(previous.report())) {
            return;
        }
        boolean sameStart = previous != null && previous.report().startedAt().equals(report.startedAt());
        if (sameStart && report.reportedAt().isBefore(previous.report().reportedAt())) {
            return;
        }
        reports.put(upstream, new ReceivedReport(report, now));
    }

    /** Processes an engine's response to an order. A refused order is reconsidered after a delay. */
    public void onOrderEnded(VmId upstream, boolean accepted, Instant now, Effects effects) {
        if (accepted || pending.isEmpty() || !pending.get().engine().equals(upstream)) {
            return;
        }
        pending = Optional.empty();
        nextLoad = now.plus(REPEAT_INTERVAL);
        effects.add(new Effect.LogDecision(Decision.builder("order-refused")
                .field("engine", upstream)
                .field("again", "in " + REPEAT_INTERVAL.toSeconds() + " s")
                .build()));
    }

    /** Repeats the pending order if it is due, or issues the next one. */
    public void onTick(Instant now, Effects effects) {
        Map<VmId, PlacementContract> plan = plan();
        if (pending.isPresent()) {
            followUp(pending.get(), plan, now, effects);
            return;
        }
        if (now.isBefore(nextLoad)) {
            return;
        }
        for (Map.Entry<VmId, PlacementContract> each : plan.entrySet()) {
            Vm engine = listedEngines.get(each.getKey());
            if (!needsSwitch(engine, each.getValue(), now)) {
                heldBackReasons.remove(engine.id());
                continue;
            }
            Optional<String> blocker = findBlocker(engine, plan, now);
            if (blocker.isPresent()) {
                logHeldBack(engine, each.getValue(), blocker.get(), effects);
                continue;
            }
            heldBackReasons.remove(engine.id());
            start(engine, each.getValue(), now, effects);
            return;
        }
    }

    /**
     * The placement assigned to each engine in service; identical on all nodes with the same configuration and VM list.
     */
    public Map<VmId, PlacementContract> plan() {
        List<Vm> engines = new ArrayList<>();
        for (Vm vm : listedEngines.values()) {
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

    private boolean needsSwitch(Vm engine, PlacementContract wanted, Instant now) {
        Optional<LoadReport> report = recentReport(engine.id(), now);
        boolean owned = ownership.ownerOf(engine).equals(Optional.of(ownership.self()));
        return owned && ownership.mayGrant(engine, now) && report.isPresent() && !serves(report.get(), wanted);
    }

    /** The reason why an engine must not be switched now; empty if it may be. */
    private Optional<String> findBlocker(Vm engine, Map<VmId, PlacementContract> plan, Instant now) {
        Optional<ModelId> present = recentReport(engine.id(), now).get().model();
        if (present.isEmpty() || !isConfigured(present.get())) {
            return Optional.empty();
        }
        for (Map.Entry<VmId, PlacementContract> other : plan.entrySet()) {
            if (other.getKey().equals(engine.id())) {
                continue;
            }
            Optional<LoadReport> report = recentReport(other.getKey(), now);
            if (report.isEmpty() || !report.get().model().equals(present)) {
                continue;
            }
            // Two owners that each rely on the other's engine would switch both copies. An engine that is itself to be
            // switched counts only for engines before it, so only one of two such engines may be switched.
            boolean stays = serves(report.get(), other.getValue());
            if (stays || other.getKey().compareTo(engine.id()) > 0) {
                return Optional.empty();
            }
        }
        return Optional.of("last copy in service of " + present.get());
    }

    private boolean isConfigured(ModelId model) {
        for (PlacementContract placement : configuration.placements()) {
            if (placement.model().equals(model)) {
                return true;
            }
        }
        return false;
    }

    private void start(Vm engine, PlacementContract wanted, Instant now, Effects effects) {
        pending = Optional.of(new Order(engine.id(), wanted, now, now.plus(REPEAT_INTERVAL)));
        int owners = Math.max(1, ownership.members().size());
        nextLoad = now.plus(FLEET_LOAD_INTERVAL.multipliedBy(owners));
        issue(engine, wanted, "planned", now, effects);
    }

    private void followUp(Order order, Map<VmId, PlacementContract> plan, Instant now, Effects effects) {
        Vm engine = listedEngines.get(order.engine());
        boolean stillPlanned = order.wanted().equals(plan.get(order.engine()));
        boolean expired = !now.isBefore(order.issued().plus(LOAD_TIMEOUT));
        if (engine == null || !stillPlanned || expired) {
            pending = Optional.empty();
            return;
        }
        Optional<LoadReport> report = recentReport(order.engine(), now);
        if (report.isPresent() && serves(report.get(), order.wanted())) {
            pending = Optional.empty();
            return;
        }
        if (now.isBefore(order.repeatAt()) || !needsSwitch(engine, order.wanted(), now)) {
            return;
        }
        if (findBlocker(engine, plan, now).isPresent()) {
            pending = Optional.empty();
            return;
        }
        pending = Optional.of(new Order(order.engine(), order.wanted(), order.issued(), now.plus(REPEAT_INTERVAL)));
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
        Optional<LoadReport> report = recentReport(engine.id(), now);
        decision.field(
                "before", report.flatMap(LoadReport::model).map(ModelId::value).orElse("none"));
        effects.add(new Effect.LogDecision(decision.build()));
    }

    /** Logs once when an order is held back for a new reason, instead of on every tick. */
    private void logHeldBack(Vm engine, PlacementContract wanted, String reason, Effects effects) {
        if (reason.equals(heldBackReasons.put(engine.id(), reason))) {
            return;
        }
        effects.add(new Effect.LogDecision(Decision.builder("order-held")
                .field("engine", engine.id())
                .field("model", wanted.model())
                .field("version", wanted.version())
                .field("reason", reason)
                .build()));
    }

    private Optional<LoadReport> recentReport(VmId engine, Instant now) {
        ReceivedReport seen = reports.get(engine);
        if (seen == null || !now.isBefore(seen.at().plus(REPORT_VALIDITY))) {
            return Optional.empty();
        }
        return Optional.of(seen.report());
    }

    private static boolean serves(LoadReport report, PlacementContract wanted) {
        return report.model().equals(Optional.of(wanted.model())) && report.modelVersion() == wanted.version();
    }
}
