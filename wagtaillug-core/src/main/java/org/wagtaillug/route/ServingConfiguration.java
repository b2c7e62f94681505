package org.wagtaillug.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.id.PoolId;

/**
 * A complete version of the configuration.
 *
 * @param version the operator's version number, which increases but not necessarily by 1
 * @param routes the routes
 * @param pools the pools by id
 * @param limits the limits for callers
 * @param customers the customers by API key; empty if callers need no key
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<PoolId, PoolProfile> pools,
        CallerLimits limits,
        Map<String, Customer> customers) {
    /** Makes defensive copies of the maps. */
    public ServingConfiguration {
        pools = Map.copyOf(pools);
        customers = Map.copyOf(customers);
    }

    /** The profile of a pool; empty if the configuration does not contain the pool. */
    public Optional<PoolProfile> pool(PoolId id) {
        return Optional.ofNullable(pools.get(id));
    }

    /** Whether callers may take up interrupted streams of any route. */
    public boolean streamsResumable() {
        return routes.streamsResumable();
    }

    /** Whether any pool consists of model engines. */
    public boolean enginesInUse() {
        return pools.values().stream().anyMatch(PoolProfile::engine);
    }

    /** The pools that consist of model engines, in the order of their ids. */
    public List<PoolId> enginePools() {
        return pools.values().stream()
                .filter(PoolProfile::engine)
                .map(PoolProfile::id)
                .sorted(Comparator.comparing(PoolId::value))
                .toList();
    }

    /** The pools whose calls are scheduled in batches, in the order of their ids. */
    public List<PoolId> scheduledPools() {
        List<PoolId> scheduled = new ArrayList<>();
        for (PoolProfile pool : pools.values()) {
            if (pool.items().isPresent()) {
                scheduled.add(pool.id());
            }
        }
        scheduled.sort(Comparator.comparing(PoolId::value));
        return scheduled;
    }
}
