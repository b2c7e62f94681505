package org.wagtaillug.feed;

import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutOrder;
import org.wagtaillug.route.ServingConfiguration;

/** What a record of the configuration feed says. */
public sealed interface ConfigurationItem {
    /**
     * A whole version.
     *
     * @param configuration the version
     */
    record Published(ServingConfiguration configuration) implements ConfigurationItem {}

    /**
     * A failure domain goes out of service or comes back.
     *
     * @param domain which
     * @param out whether nothing may be sent to its upstreams
     */
    record DomainService(DomainId domain, boolean out) implements ConfigurationItem {}

    /**
     * A pool's requests are to move to another version of its upstreams.
     *
     * @param order what to move
     */
    record RolloutOrdered(RolloutOrder order) implements ConfigurationItem {}

    /**
     * The order of a rollout is taken back.
     *
     * @param pool which pool's
     */
    record RolloutWithdrawn(PoolId pool) implements ConfigurationItem {}

    /**
     * Nothing that this version of the program acts on.
     *
     * @param reason for the log
     */
    record Ignored(String reason) implements ConfigurationItem {}
}
