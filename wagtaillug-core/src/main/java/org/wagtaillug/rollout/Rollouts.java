package org.wagtaillug.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.id.PoolId;

/**
 * The rollouts that this node knows of. They determine which versions of a pool's upstreams may receive its requests.
 */
public final class Rollouts {
    private final Map<PoolId, RolloutOrder> orders = new HashMap<>();
    private final Map<PoolId, RolloutStatus> statuses = new HashMap<>();
    private final Set<PoolId> withdrawn = new HashSet<>();

    /** An operator has ordered a rollout. */
    public void onOrder(RolloutOrder order) {
        orders.put(order.pool(), order);
        withdrawn.remove(order.pool());
    }

    /**
     * An operator has withdrawn an order, which stops the rollout. The candidate version still receives no requests,
     * because its upstreams may remain in the directory for some seconds.
     */
    public void onWithdrawn(PoolId pool) {
        withdrawn.add(pool);
    }

    /** The status of a rollout was read. */
    public void onStatus(PoolId pool, RolloutStatus status) {
        statuses.put(pool, status);
    }

    /** The status of a rollout was removed. */
    public void onStatusRemoved(PoolId pool) {
        statuses.remove(pool);
    }

    /** The newest order for a pool, if any. */
    public Optional<RolloutOrder> order(PoolId pool) {
        return Optional.ofNullable(orders.get(pool));
    }

    /** The status of an order; empty if none has been written yet. */
    public Optional<RolloutStatus> status(RolloutOrder order) {
        return Optional.ofNullable(statuses.get(order.pool())).filter(status -> status.order() == order.id());
    }

    /** The newest status of each pool. */
    public Map<PoolId, RolloutStatus> statuses() {
        return Map.copyOf(statuses);
    }

    /** Whether an order repeats the newest one for its pool, which was not withdrawn. */
    public boolean repeats(RolloutOrder order) {
        RolloutOrder known = orders.get(order.pool());
        return known != null
                && !withdrawn.contains(order.pool())
                && known.version().equals(order.version())
                && known.within().equals(order.within());
    }

    /** The orders that are neither completed, reverted nor withdrawn. */
    public List<RolloutOrder> open() {
        List<RolloutOrder> open = new ArrayList<>();
        for (RolloutOrder order : orders.values()) {
            boolean ended =
                    status(order).filter(status -> status.state().isFinal()).isPresent();
            if (!ended && !withdrawn.contains(order.pool())) {
                open.add(order);
            }
        }
        return open;
    }

    /** The share of a pool's requests that the new version receives; empty if no rollout is open. */
    public Optional<Double> share(PoolId pool) {
        return order(pool)
                .filter(order -> open().contains(order))
                .map(order -> status(order).map(RolloutStatus::share).orElse(0.0));
    }

    /**
     * The versions that may receive a request.
     *
     * @param canary whether the request belongs to the canary share
     */
    public VersionRule rule(PoolId pool, boolean canary) {
        RolloutOrder order = orders.get(pool);
        if (order == null) {
            return VersionRule.ANY;
        }
        Optional<RolloutStatus> status = status(order);
        if (status.isPresent() && status.get().state() == RolloutStatus.State.COMPLETED) {
            return new VersionRule.Except(status.get().replaced());
        }
        boolean inProgress = status.isPresent() && status.get().state() == RolloutStatus.State.IN_PROGRESS;
        return canary && inProgress
                ? new VersionRule.Only(order.version())
                : new VersionRule.Except(Set.of(order.version()));
    }
}
