package org.wagtaillug.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.wagtaillug.batch.CallGate;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutOrder;
import org.wagtaillug.rollout.Rollouts;

/**
 * Limits the calls to candidate servers of a stage pool during a rollout, by counting calls against the canary share.
 */
final class RolloutCallGate implements CallGate {
    private static final int PERCENT = 100;

    private final Rollouts rollouts;
    private final UpstreamDirectory directory;
    private final Samples samples;
    private final BooleanSupplier fresh;
    private final Map<Long, Counts> counts = new HashMap<>();

    /** Receives the results of calls. */
    interface Samples {
        /** Adds the result of a call; calls of the same kind are compared. */
        void add(Listing server, String kind, boolean failed, Duration took);
    }

    private static final class Counts {
        private long total;
        private long candidate;
    }

    /**
     * Creates a gate for the rollouts that a node knows of.
     *
     * @param fresh whether the node receives every new rollout status
     */
    RolloutCallGate(Rollouts rollouts, UpstreamDirectory directory, Samples samples, BooleanSupplier fresh) {
        this.rollouts = rollouts;
        this.directory = directory;
        this.samples = samples;
        this.fresh = fresh;
    }

    /** The rollout in progress of a pool. */
    private Optional<RolloutOrder> inProgress(PoolId pool) {
        return rollouts.share(pool).flatMap(share -> rollouts.order(pool));
    }

    private Counts counts(RolloutOrder order) {
        return counts.computeIfAbsent(order.id(), id -> new Counts());
    }

    @Override
    public boolean allows(Listing server) {
        Optional<RolloutOrder> order = inProgress(server.pool());
        if (order.isEmpty()) {
            return rollouts.rule(server.pool(), false).allows(server.version());
        }
        double share = rollouts.share(server.pool()).orElse(0.0);
        boolean candidate = server.version().equals(order.get().version());
        if (share >= 1) {
            VersionRule candidateOnly = new VersionRule.Only(order.get().version());
            return candidate || directory.usable(server.pool(), candidateOnly).isEmpty();
        }
        Counts counted = counts(order.get());
        boolean withinShare = counted.candidate + 1 <= share * (counted.total + 1);
        return !candidate || (fresh.getAsBoolean() && withinShare);
    }

    @Override
    public boolean preferred(Listing server) {
        return inProgress(server.pool())
                .filter(order -> order.version().equals(server.version()))
                .isPresent();
    }

    @Override
    public void onCall(Listing server) {
        inProgress(server.pool()).ifPresent(order -> {
            Counts counted = counts(order);
            counted.total++;
            counted.candidate += server.version().equals(order.version()) ? 1 : 0;
        });
    }

    /** Calls differ in size, so their times are compared as a percentage of the expected time by the contract. */
    @Override
    public void onCallEnded(Listing server, boolean failed, Duration took, Duration expected) {
        Duration relative = took.multipliedBy(PERCENT).dividedBy(Math.max(1, expected.toMillis()));
        samples.add(server, server.pool().value(), failed, relative);
    }
}
