package org.wagtaillug.serving;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.wagtaillug.assignment.Assignment;
import org.wagtaillug.assignment.AssignmentCost;
import org.wagtaillug.assignment.AttemptKey;
import org.wagtaillug.assignment.EngineAssigner;
import org.wagtaillug.assignment.EngineDemand;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.route.EngineCapacity;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;

/** Chooses engines for the requests of all nodes, for the pools whose engines this node assigns. */
final class AssignmentHolder {
    private final UpstreamDirectory directory;
    private final Consumer<ServingEffect> effects;
    private final Map<PoolId, EngineAssigner> assigners = new HashMap<>();
    private Map<PoolId, PoolProfile> pools = Map.of();

    AssignmentHolder(UpstreamDirectory directory, Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.effects = effects;
    }

    void configure(ServingConfiguration latest) {
        pools = latest.pools();
        assigners.entrySet().removeIf(entry -> !entry.getValue().capacity().equals(capacity(entry.getKey())));
    }

    private EngineCapacity capacity(PoolId pool) {
        PoolProfile profile = pools.get(pool);
        return profile == null
                ? EngineCapacity.UNKNOWN
                : profile.engineCapacity().orElse(EngineCapacity.UNKNOWN);
    }

    /**
     * Chooses the engines for the request of a node.
     *
     * @return the engines in order of preference; empty if this node has no entries of the pool
     */
    List<VmId> assign(VmId node, ServingMessage.AssignmentRequest request, Instant now) {
        List<Upstream> engines = directory.usable(request.pool());
        if (engines.isEmpty()) {
            return List.of();
        }
        EngineDemand demand = new EngineDemand(
                request.segments(),
                request.promptTokens(),
                request.outputTokens(),
                request.inputsDomain(),
                request.inputBytes(),
                request.excluded(),
                now.plus(request.deadlineLeft()));
        Assignment assignment =
                assigner(request.pool()).assign(new AttemptKey(node, request.request()), demand, engines, now);
        assignment.first().ifPresent(first -> log(node, request, assignment, first));
        return assignment.engines();
    }

    private EngineAssigner assigner(PoolId pool) {
        return assigners.computeIfAbsent(pool, id -> new EngineAssigner(capacity(id)));
    }

    private void log(
            VmId node, ServingMessage.AssignmentRequest request, Assignment assignment, Assignment.First first) {
        AssignmentCost cost = first.cost();
        Decision.Builder line = Decision.builder("assign")
                .field("request", request.request())
                .field("node", node)
                .field("pool", request.pool())
                .field("engine", assignment.engines().getFirst())
                .field("prompt_tokens", request.promptTokens())
                .field("output_tokens", request.outputTokens())
                .field("cost_reading", Math.round(cost.reading()))
                .field("cost_streams", Math.round(cost.delayOfStreams()))
                .field("cost_others", Math.round(cost.delayByOthers()))
                .field("cost_transfer", Math.round(cost.transfer()))
                .field("free", first.free())
                .field("candidates", assignment.candidates());
        first.reportAge().ifPresent(age -> line.field("report_age_ms", age.toMillis()));
        assignment.engines().stream()
                .skip(1)
                .forEach(engine -> line.alternative(engine.value() + ": higher cost or no free capacity"));
        effects.accept(new ServingEffect.LogDecision(line.build()));
    }

    /** Processes what a node reports of its attempts at the engines of a pool. */
    void onReports(VmId node, PoolId pool, List<AttemptReport> reports, Instant now) {
        EngineAssigner assigner = assigner(pool);
        reports.forEach(report -> assigner.onReport(node, report, now));
    }

    /** Forgets a pool that another node assigns. */
    void release(PoolId pool) {
        assigners.remove(pool);
    }

    void onEngineRestarted(VmId engine) {
        assigners.values().forEach(assigner -> assigner.onEngineRestarted(engine));
    }

    void onNodeRestarted(VmId node) {
        assigners.values().forEach(assigner -> assigner.onNodeRestarted(node));
    }

    /** Forgets attempts whose deadlines have passed and engines that are no longer listed. */
    void onTick(Instant now) {
        assigners.forEach((pool, assigner) -> {
            Set<VmId> listed = directory.usable(pool).stream().map(Upstream::id).collect(Collectors.toSet());
            assigner.onTick(listed, now);
        });
    }

    /** The attempts of all nodes that count as in flight at an engine. */
    int inFlight(PoolId pool, VmId engine) {
        return assigners.containsKey(pool) ? assigners.get(pool).inFlight(engine) : 0;
    }
}
