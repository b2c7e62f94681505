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
 * Decides the next step of each open rollout. Normally one node coordinates; if two nodes believe to be the
 * coordinator, the store accepts the write of only one of them, because each write states the position up to which its
 * node has read.
 */
public final class RolloutCoordinator {
    private static final Duration WRITE_RETRY_INTERVAL = Duration.ofMillis(400);

    private final Rollouts rollouts;
    private final RolloutLimits limits;
    private final Map<Long, Progress> progresses = new HashMap<>();

    /** The versions of the upstreams of a pool, according to the directory. */
    public interface Versions {
        /** Whether the pool has a usable upstream of a version. */
        boolean available(PoolId pool, String version);

        /** All versions of the upstreams of a pool. */
        Set<String> of(PoolId pool);
    }

    /**
     * A rollout status to write to the store.
     *
     * @param order the order of the rollout
     * @param status its new status
     * @param comparison the comparison of the new version with the old one
     */
    public record Write(RolloutOrder order, RolloutStatus status, VersionComparison comparison) {}

    private static final class Progress {
        private final VersionComparison comparison = new VersionComparison();
        private final Instant firstSeenAt;
        private Instant writeDue = Instant.EPOCH;
        private Duration elapsedBefore = Duration.ZERO;

        private Progress(Instant firstSeenAt) {
            this.firstSeenAt = firstSeenAt;
        }

        private Duration elapsed(Instant now) {
            return elapsedBefore.plus(Duration.between(firstSeenAt, now));
        }
    }

    /** Creates a coordinator of the rollouts that a node knows of. */
    public RolloutCoordinator(Rollouts rollouts, RolloutLimits limits) {
        this.rollouts = rollouts;
        this.limits = limits;
    }

    /** A node has reported samples of requests. */
    public void onSamples(long order, List<RolloutSample> samples, Instant now) {
        VersionComparison comparison = progress(order, now).comparison;
        samples.forEach(comparison::add);
    }

    private Progress progress(long order, Instant now) {
        return progresses.computeIfAbsent(order, id -> new Progress(now));
    }

    /** Records when this node learned of an order, whether it coordinates the rollout or not. */
    public void onOrder(RolloutOrder order, Instant now) {
        progress(order.id(), now);
    }

    /**
     * A status was read. If it was written before this node learned of the order, its elapsed time corrects the
     * age of the order.
     */
    public void onStatus(RolloutStatus status, Instant now) {
        Progress progress = progress(status.order(), now);
        progress.writeDue = Instant.EPOCH;
        Duration difference = status.elapsed().minus(progress.elapsed(now));
        if (difference.isPositive()) {
            progress.elapsedBefore = progress.elapsedBefore.plus(difference);
        }
    }

    /** The statuses that the coordinating node has to write now. */
    public List<Write> due(Versions versions, Instant now) {
        List<Write> writes = new ArrayList<>();
        for (RolloutOrder order : rollouts.open()) {
            Progress progress = progress(order.id(), now);
            if (now.isBefore(progress.writeDue)) {
                continue;
            }
            Optional<RolloutStatus> stored = rollouts.status(order);
            RolloutStatus status = stored.orElseGet(() -> RolloutStatus.initial(order, replaced(versions, order)));
            boolean available = versions.available(order.pool(), order.version());
            RolloutStatus next =
                    RolloutPlan.next(order, status, progress.comparison, limits, available, progress.elapsed(now));
            if (next.state() == RolloutStatus.State.COMPLETED) {
                next = next.withReplaced(replaced(versions, order));
            }
            if (stored.isEmpty() || !next.equals(status)) {
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
