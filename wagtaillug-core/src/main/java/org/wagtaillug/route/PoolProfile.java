package org.wagtaillug.route;

import java.util.Optional;
import org.wagtaillug.id.PoolId;

/**
 * The capacity of the servers of one pool.
 *
 * @param id the pool
 * @param connections the maximum number of connections that one server accepts from all nodes together
 * @param coldPerSecond the requests per second that a cold server can handle; 0 if its servers are never cold
 * @param items the capacity of its servers for items; empty if they do not process items
 * @param engineCapacity the capacity of its servers for prompts; empty if they are not model engines
 */
public record PoolProfile(
        PoolId id,
        int connections,
        double coldPerSecond,
        Optional<BatchContract> items,
        Optional<EngineCapacity> engineCapacity) {
    /** Creates the profile of a pool; if it consists of engines, their capacity is unknown. */
    public PoolProfile(
            PoolId id, int connections, double coldPerSecond, Optional<BatchContract> items, boolean engine) {
        this(id, connections, coldPerSecond, items, engine ? Optional.of(EngineCapacity.UNKNOWN) : Optional.empty());
    }

    /** Whether its servers are model engines. */
    public boolean engine() {
        return engineCapacity.isPresent();
    }
}
