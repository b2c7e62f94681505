package org.wagtaillug.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

/** The baseline for measurements of the current policy: round robin with one retry. */
public final class RoundRobinPolicy implements RoutingPolicy {
    private static final int MAX_ATTEMPTS = 2;

    private final Upstreams upstreams;
    private final Map<PoolId, Integer> turns = new HashMap<>();

    /** Creates a policy that rotates through the upstreams of each pool. */
    public RoundRobinPolicy(Upstreams upstreams) {
        this.upstreams = upstreams;
    }

    @Override
    public Choice choose(Stage stage, String prefix, Set<VmId> excluded, Instant now) {
        List<Vm> pool = upstreams.inPool(stage.pool());
        if (pool.isEmpty()) {
            return new Choice(Optional.empty(), "no upstream in service", List.of());
        }
        int turn = turns.merge(stage.pool(), 1, Integer::sum);
        return new Choice(Optional.of(pool.get(turn % pool.size())), "round robin", List.of());
    }

    @Override
    public int maxAttempts(Stage stage) {
        return MAX_ATTEMPTS;
    }

    @Override
    public boolean budgetsRetries() {
        return false;
    }

    @Override
    public boolean hedges() {
        return false;
    }

    @Override
    public boolean refusesEarly() {
        return false;
    }
}
