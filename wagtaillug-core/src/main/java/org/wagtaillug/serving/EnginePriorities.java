package org.wagtaillug.serving;

import java.util.OptionalInt;
import java.util.TreeSet;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.ServingConfiguration;

/**
 * Maps the ranks of requests to the priorities that engines are told: 0 to 9, 0 first. All nodes with the same configuration
 * map alike.
 *
 * <p>The ranks that can occur at engines are numbered in their order. If there are more than ten, neighbouring ranks share a
 * priority, so the order of ranks is never reversed.
 */
final class EnginePriorities {
    private static final int PRIORITIES = 10;

    /** The rank of the customer takes precedence over the rank of the route. */
    private static final int CUSTOMER_RANK_FACTOR = 100;

    private final ContentionSwitch contention;
    private final TreeSet<Integer> ranks = new TreeSet<>();

    EnginePriorities(ContentionSwitch contention) {
        this.contention = contention;
    }

    /** The rank of a request by those of its customer and its route, 0 first. */
    static int rank(int customerRank, int routeRank) {
        return customerRank * CUSTOMER_RANK_FACTOR + routeRank;
    }

    /** Sets the configuration, whose ranks are mapped from now on. */
    void configure(ServingConfiguration configuration) {
        TreeSet<Integer> customerRanks = new TreeSet<>();
        customerRanks.add(0);
        for (Customer customer : configuration.customers().values()) {
            customerRanks.add(customer.rank().orElse(0));
        }
        ranks.clear();
        for (Route route : configuration.routes().all()) {
            if (endsAtEngine(route, configuration)) {
                customerRanks.forEach(customerRank -> ranks.add(rank(customerRank, route.rank())));
            }
        }
    }

    private static boolean endsAtEngine(Route route, ServingConfiguration configuration) {
        return configuration.pools().values().stream().anyMatch(pool -> pool.engine() && route.uses(pool.id()));
    }

    /**
     * The priority of a request at a pool; empty unless engines are told priorities and the pool consists of engines.
     *
     * @param rank the rank of the request
     */
    OptionalInt priority(int rank, PoolId pool, ServingConfiguration configuration) {
        boolean engine = configuration.pool(pool).map(PoolProfile::engine).orElse(false);
        if (!engine || !contention.uses(PolicyFeature.ENGINE_PRIORITIES)) {
            return OptionalInt.empty();
        }
        int position = ranks.headSet(rank).size();
        int scaled = ranks.size() <= PRIORITIES ? position : position * PRIORITIES / ranks.size();
        return OptionalInt.of(Math.min(PRIORITIES - 1, scaled));
    }
}
