package org.wagtaillug.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.membership.Vm;

/**
 * Selects the upstream with the earliest expected completion among those for which this node holds an allowance.
 *
 * <p>The estimate is the upstream's mean attempt duration, scaled by the work queued ahead of the attempt: the load that
 * the upstream reports, but at least this node's own requests in flight there, because reports lag. The engine that is
 * expected to have the prompt's prefix cached gets a discount, so it is preferred unless it is much busier.
 */
public final class LeastCompletionPolicy implements RoutingPolicy {
    /** Assumed duration of an attempt for a pool without samples. */
    static final Duration DEFAULT_ATTEMPT_DURATION = Duration.ofMillis(100);

    /** Round-trip time added by a call into another failure domain. */
    static final Duration CROSS_DOMAIN_ROUND_TRIP = Duration.ofMillis(3);

    /** Assumed fraction of an engine's processing time that a cached prefix saves. */
    static final double CACHED_PREFIX_SAVING = 0.25;

    private static final int MAX_LOGGED_ALTERNATIVES = 4;
    private static final double NANOS_PER_TENTH_MILLI = 1e5;

    private final Rendezvous rendezvous = new Rendezvous();
    private final Upstreams upstreams;
    private final DomainId domain;

    /**
     * Creates a policy for a node.
     *
     * @param upstreams the state of the upstreams
     * @param domain this node's failure domain
     */
    public LeastCompletionPolicy(Upstreams upstreams, DomainId domain) {
        this.upstreams = upstreams;
        this.domain = domain;
    }

    @Override
    public Choice choose(Stage stage, String prefix, Set<VmId> excluded, Instant now) {
        List<Vm> pool = upstreams.inPool(stage.pool());
        Vm best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        List<String> alternatives = new ArrayList<>();
        Optional<VmId> prefixHome = prefixHome(stage, prefix, pool);
        Duration defaultDuration = upstreams.quantile(stage.pool(), 0.5).orElse(DEFAULT_ATTEMPT_DURATION);
        for (Vm vm : pool) {
            String ineligibilityReason = ineligibilityReason(vm, stage, excluded, now);
            if (!ineligibilityReason.isEmpty()) {
                addAlternative(alternatives, vm, ineligibilityReason);
                continue;
            }
            double score = expectedNanos(vm, defaultDuration, prefixHome);
            if (score >= bestScore) {
                addAlternative(alternatives, vm, score);
                continue;
            }
            if (best != null) {
                addAlternative(alternatives, best, bestScore);
            }
            best = vm;
            bestScore = score;
        }
        if (best == null) {
            return new Choice(Optional.empty(), "none of " + pool.size() + " upstreams is eligible", alternatives);
        }
        return new Choice(Optional.of(best), "expected completion in " + millis(bestScore), alternatives);
    }

    private String ineligibilityReason(Vm vm, Stage stage, Set<VmId> excluded, Instant now) {
        if (excluded.contains(vm.id())) {
            return "already tried";
        }
        if (!upstreams.usable(vm.id(), now)) {
            return "suspended after failures";
        }
        if (!servesModel(vm, stage)) {
            return "serves another model";
        }
        if (upstreams.available(vm.id(), now) < 1) {
            return "no allowance left";
        }
        return "";
    }

    /** An engine without a load report is assumed to serve the model. */
    private boolean servesModel(Vm vm, Stage stage) {
        Optional<LoadReport> report = upstreams.report(vm.id());
        if (stage.model().isEmpty() || report.isEmpty()) {
            return true;
        }
        return report.get().model().equals(stage.model());
    }

    private double expectedNanos(Vm vm, Duration defaultDuration, Optional<VmId> prefixHome) {
        double attemptNanos =
                upstreams.expected(vm.id()).orElse(defaultDuration).toNanos();
        Optional<LoadReport> report = upstreams.report(vm.id());
        int ownInFlight = upstreams.inFlight(vm.id());
        int reportedLoad = report.map(load -> load.running() + load.waiting()).orElse(0);
        int slots = Math.max(1, report.map(LoadReport::slots).orElse(1));
        double queuedAhead = Math.max(ownInFlight, reportedLoad);
        double queuedRounds = queuedAhead / slots;
        if (prefixHome.isPresent() && prefixHome.get().equals(vm.id())) {
            attemptNanos *= 1 - CACHED_PREFIX_SAVING;
        }
        double crossDomainNanos = vm.domain().equals(domain) ? 0 : CROSS_DOMAIN_ROUND_TRIP.toNanos();
        return attemptNanos * (1 + queuedRounds) + crossDomainNanos;
    }

    /** The engine to which all nodes route requests with this prefix, so that they share its cache. */
    private Optional<VmId> prefixHome(Stage stage, String prefix, List<Vm> pool) {
        if (stage.work() != StageWork.GENERATE || prefix.isEmpty()) {
            return Optional.empty();
        }
        return rendezvous.first(prefix, pool).map(Vm::id);
    }

    /** Formats the score only if it will be logged: of up to 740 upstreams in a pool, only four are. */
    private static void addAlternative(List<String> alternatives, Vm vm, double score) {
        if (alternatives.size() < MAX_LOGGED_ALTERNATIVES) {
            alternatives.add(vm.id() + ": " + millis(score));
        }
    }

    private static void addAlternative(List<String> alternatives, Vm vm, String reason) {
        if (alternatives.size() < MAX_LOGGED_ALTERNATIVES) {
            alternatives.add(vm.id() + ": " + reason);
        }
    }

    private static String millis(double nanos) {
        return Math.round(nanos / NANOS_PER_TENTH_MILLI) / 10.0 + " ms";
    }

    @Override
    public int maxAttempts(Stage stage) {
        return stage.attempts();
    }

    @Override
    public boolean budgetsRetries() {
        return true;
    }

    @Override
    public boolean hedges() {
        return true;
    }

    @Override
    public boolean refusesEarly() {
        return true;
    }
}
