package org.wagtaillug.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtaillug.id.PoolId;

/**
 * Decides how each open rollout goes on. One node does so at a time; if two believe to, the store takes the write of one of
 * them only, as each names the position up to which it has read.
 */
public final class RolloutCoordinator {
    private static final Duration WRITE_RETRY_INTERVAL = Duration.ofMillis(400);

    private final Rollouts rollouts;
    private final RolloutLimits limits;
    private final Map<Long, Progress> progresses = new HashMap<>();

    /** What the directory says of the versions of a pool. */
    public interface Versions {
        /** Whether an upstream of a version can be used. */
        boolean available(PoolId pool, String version);

        /** All versions that upstreams of a pool have. */
        Set<String> of(PoolId pool);
    }

    /**
     * A status to write.
     *
     * @param order which rollout
     * @param status its status
     * @param comparison what the new version has shown
     */
    public record Write(RolloutOrder order, RolloutStatus status, VersionComparison comparison) {}

    private static final class Progress {
        private final VersionComparison comparison = new VersionComparison();
        private final Instant seenAt;
        private Instant writeDue = Instant.EPOCH;
        private Duration before = Duration.ZERO;

        private Progress(Instant seenAt) {
            this.seenAt = seenAt;
        }

        private Duration elapsed(Instant now) {
            return before.plus(Duration.between(seenAt, now));
        }
    }

    /** Coordinates the rollouts that a node knows of. */
    public RolloutCoordinator(Rollouts rollouts, RolloutLimits limits) {
        this.rollouts = rollouts;
        this.limits = limits;
    }

    /** A node reports what requests have seen. */
    public void onSamples(long order, List<RolloutSample> samples, Instant now) {
        VersionComparison comparison = progress(order, now).comparison;
        samples.forEach(comparison::add);
    }

    private Progress progress(long order, Instant now) {
        return progresses.computeIfAbsent(order, id -> new Progress(now));
    }

    /** An order is known from now on, whoever coordinates it. */
    public void onOrder(RolloutOrder order, Instant now) {
        progress(order.id(), now);
    }

    /** A status was read; one that was written before this node knew of the order tells how old the order is. */
    public void onStatus(RolloutStatus status, Instant now) {
        Progress progress = progress(status.order(), now);
        progress.writeDue = Instant.EPOCH;
        Duration missing = status.elapsed().minus(progress.elapsed(now));
        if (missing.isPositive()) {
            progress.before = progress.before.plus(missing);
        }
    }

    /** The statuses to write now, by the node that coordinates. */
    public List<Write> due(Versions versions, Instant now) {
        List<Write> writes = new ArrayList<>();
        for (RolloutOrder order : rollouts.open()) {
            Progress progress = progress(order.id(), now);
            if (now.isBefore(progress.writeDue)) {
                continue;
            }
            Optional<RolloutStatus> held = rollouts.status(order);
            RolloutStatus status = held.orElseGet(() -> RolloutStatus.begun(order, replaced(versions, order)));
            boolean available = versions.available(order.pool(), order.version());
            RolloutStatus next =
                    RolloutPlan.next(order, status, progress.comparison, limits, available, progress.elapsed(now));
            if (next.state() == RolloutStatus.State.COMPLETED) {
                next = next.replacing(replaced(versions, order));
            }
            if (held.isEmpty() || !next.equals(status)) {
                progress.writeDue = now.plus(WRITE_RETRY_INTERVAL);
                writes.add(new Write(order, next, progress.comparison));
            }
        }
        return writes;
    }

    private static Set<String> replaced(Versions versions, RolloutOrder order) {
        Set<String> others = new TreeSet<>(versions.of(order.pool()));
        others.remove(order.version());
        return others;
    }
}
