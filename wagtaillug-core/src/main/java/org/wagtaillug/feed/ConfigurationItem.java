package org.wagtaillug.feed;

import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutOrder;
import org.wagtaillug.route.ServingConfiguration;

/** The decoded content of a record of the configuration feed. */
public sealed interface ConfigurationItem {
    /**
     * A complete configuration was published.
     *
     * @param configuration the published configuration
     */
    record Published(ServingConfiguration configuration) implements ConfigurationItem {}

    /**
     * A failure domain was taken out of service or returned to service.
     *
     * @param domain the failure domain
     * @param out true if no requests may be sent to its upstreams
     */
    record DomainService(DomainId domain, boolean out) implements ConfigurationItem {}

    /**
     * A rollout was ordered that moves a pool's requests to another version of its upstreams.
     *
     * @param order the order of the rollout
     */
    record RolloutOrdered(RolloutOrder order) implements ConfigurationItem {}

    /**
     * The order of a rollout was withdrawn.
     *
     * @param pool the pool of the rollout
     */
    record RolloutWithdrawn(PoolId pool) implements ConfigurationItem {}

    /**
     * A record that this version of the program does not handle.
     *
     * @param reason the reason, for the log
     */
    record Ignored(String reason) implements ConfigurationItem {}
}
