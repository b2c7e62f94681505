package org.wagtaillug.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.dispatch.DispatchLimits;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.membership.Members;

/**
 * The settings of a node.
 *
 * <pre>{@code
 * NodeSetup setup = NodeSetup.builder(id, address).seed(other).build();
 * }</pre>
 *
 * @param self the id of this incarnation of the node
 * @param address where it listens for other nodes, and its failure domain
 * @param seeds nodes to contact until the roster is known
 * @param limits limits of the dispatcher; default {@link DispatchLimits#DEFAULT}
 * @param retention the log's retention; default 1 h
 * @param baselinePolicy whether to route by the baseline policy; default false
 * @param shutdownGrace time between the shutdown signal and the kill of the process; default 30 s
 */
public record NodeSetup(
        NodeId self,
        NodeAddress address,
        List<Members.Seed> seeds,
        DispatchLimits limits,
        Duration retention,
        boolean baselinePolicy,
        Duration shutdownGrace) {
    /** Starts a builder with the defaults stated above. */
    public static Builder builder(NodeId self, NodeAddress address) {
        return new Builder(self, address);
    }

    /** Builder for {@link NodeSetup}. */
    public static final class Builder {
        private final NodeId self;
        private final NodeAddress address;
        private final List<Members.Seed> seeds = new ArrayList<>();
        private DispatchLimits limits = DispatchLimits.DEFAULT;
        private Duration retention = Duration.ofHours(1);
        private boolean baselinePolicy;
        private Duration shutdownGrace = Duration.ofSeconds(30);

        private Builder(NodeId self, NodeAddress address) {
            this.self = self;
            this.address = address;
        }

        /** Adds a seed node. */
        public Builder seed(Members.Seed seed) {
            seeds.add(seed);
            return this;
        }

        /** Sets the limits of the dispatcher. */
        public Builder limits(DispatchLimits value) {
            this.limits = value;
            return this;
        }

        /** Sets the log's retention. */
        public Builder retention(Duration value) {
            this.retention = value;
            return this;
        }

        /** Sets whether to route by the baseline policy. */
        public Builder baselinePolicy(boolean value) {
            this.baselinePolicy = value;
            return this;
        }

        /** Sets the time between the shutdown signal and the kill of the process. */
        public Builder shutdownGrace(Duration value) {
            this.shutdownGrace = value;
            return this;
        }

        public NodeSetup build() {
            return new NodeSetup(self, address, List.copyOf(seeds), limits, retention, baselinePolicy, shutdownGrace);
        }
    }
}
