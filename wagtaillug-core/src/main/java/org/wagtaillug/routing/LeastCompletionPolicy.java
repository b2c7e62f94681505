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
 * Chooses, among the upstreams that this node holds an allowance for, the one that is expected to finish first.
 *
 * <p>The expectation is the upstream's own mean time, stretched by the work that stands before the attempt: what the
 * load report says, and never less than what this node itself has in flight there, since the report lags behind. A
 * server that is known to hold the prompt's prefix is preferred as long as it is not much busier than the best.
 */
public final class LeastCompletionPolicy implements RoutingPolicy {
    /** Stands for the time of an upstream or pool of which nothing was seen yet. */
    static final Duration UNSEEN_WORK = Duration.ofMillis(100);

    /** What a call into another failure domain adds, there and back. */
    static final Duration DOMAIN_PENALTY = Duration.ofMillis(3);

    /** The share of an engine's time that a cached prefix is taken to save. */
    static final double PREFIX_SAVING = 0.25;

    private static final int LOGGED_ALTERNATIVES = 4;
    private static final double TENTH_OF_MILLI = 1e5;

    private final Rendezvous rendezvous = new Rendezvous();
    private final Upstreams upstreams;
    private final DomainId domain;

    /**
     * Chooses among the given upstreams.
     *
     * @param upstreams what is known of them
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
        Optional<VmId> home = prefixHome(stage, prefix, pool);
        Duration unseen = upstreams.quantile(stage.pool(), 0.5).orElse(UNSEEN_WORK);
        for (Vm vm : pool) {
            String obstacle = obstacle(vm, stage, excluded, now);
            if (!obstacle.isEmpty()) {
                note(alternatives, vm, obstacle);
                continue;
            }
            double score = expectedNanos(vm, unseen, home);
            if (score >= bestScore) {
                note(alternatives, vm, score);
                continue;
            }
            if (best != null) {
                note(alternatives, best, bestScore);
            }
            best = vm;
            bestScore = score;
        }
        if (best == null) {
            return new Choice(Optional.empty(), "none of " + pool.size() + " may take it now", alternatives);
        }
        return new Choice(Optional.of(best), "expected " + millis(bestScore), alternatives);
    }

    private String obstacle(Vm vm, Stage stage, Set<VmId> excluded, Instant now) {
        if (excluded.contains(vm.id())) {
            return "tried before";
        }
        if (!upstreams.usable(vm.id(), now)) {
            return "failed just now";
        }
        if (!servesModel(vm, stage)) {
            return "serves another model";
        }
        if (upstreams.available(vm.id(), now) < 1) {
            return "no allowance left";
        }
        return "";
    }

    /** An engine that has not reported yet gets the benefit of the doubt. */
    private boolean servesModel(Vm vm, Stage stage) {
        Optional<LoadReport> report = upstreams.report(vm.id());
        if (stage.model().isEmpty() || report.isEmpty()) {
            return true;
        }
        return report.get().model().equals(stage.model());
    }

    private double expectedNanos(Vm vm, Duration unseen, Optional<VmId> home) {
        double work = upstreams.expected(vm.id()).orElse(unseen).toNanos();
        Optional<LoadReport> report = upstreams.report(vm.id());
        int own = upstreams.inFlight(vm.id());
        int reported = report.map(load -> load.running() + load.waiting()).orElse(0);
        int slots = Math.max(1, report.map(LoadReport::slots).orElse(1));
        double ahead = Math.max(own, reported);
        double waves = ahead / slots;
        if (home.isPresent() && home.get().equals(vm.id())) {
            work *= 1 - PREFIX_SAVING;
        }
        double far = vm.domain().equals(domain) ? 0 : DOMAIN_PENALTY.toNanos();
        return work * (1 + waves) + far;
    }

    /** The engine on which requests with this prefix gather, so that its cache serves them all. */
    private Optional<VmId> prefixHome(Stage stage, String prefix, List<Vm> pool) {
        if (stage.work() != StageWork.GENERATE || prefix.isEmpty()) {
            return Optional.empty();
        }
        return rendezvous.first(prefix, pool).map(Vm::id);
    }

    /** Writes a number out only if it will be logged: among 740 upstreams that is all but four times not so. */
    private static void note(List<String> alternatives, Vm vm, double score) {
        if (alternatives.size() < LOGGED_ALTERNATIVES) {
            alternatives.add(vm.id() + ": " + millis(score));
        }
    }

    private static void note(List<String> alternatives, Vm vm, String reason) {
        if (alternatives.size() < LOGGED_ALTERNATIVES) {
            alternatives.add(vm.id() + ": " + reason);
        }
    }

    private static String millis(double nanos) {
        return Math.round(nanos / TENTH_OF_MILLI) / 10.0 + " ms";
    }

    @Override
    public int mostAttempts(Stage stage) {
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
