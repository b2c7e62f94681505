package org.wagtaillug.feed;

import org.wagtaillug.id.DomainId;
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
     * Nothing that this version of the program acts on.
     *
     * @param reason for the log
     */
    record Ignored(String reason) implements ConfigurationItem {}
}
