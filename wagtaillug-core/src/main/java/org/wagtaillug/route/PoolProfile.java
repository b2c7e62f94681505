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
 * @param engine whether its servers are model engines
 */
public record PoolProfile(
        PoolId id, int connections, double coldPerSecond, Optional<BatchContract> items, boolean engine) {}
