package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;
import org.wagtaillug.routing.UpstreamLimits.ColdBound;

/**
 * Startup parameters of a node. Immutable.
 *
 * <pre>{@code
 * ServingSetup setup = ServingSetup.builder(self, domain, decoder).seed(new VmId("10.1.0.41")).build();
 * }</pre>
 */
public final class ServingSetup {
    private final NodeId self;
    private final DomainId domain;
    private final RecordDecoder decoder;
    private final List<VmId> seeds;
    private final RetryLimits retryLimits;
    private final Duration drainGrace;
    private final PolicyFeatures features;
    private final double capacity;
    private final ColdBound coldBound;
    private final RolloutLimits rolloutLimits;
    private final boolean acceptsTunnels;
    private final Contention contention;
    private final Instant startedAt;

    private static final ColdBound DEFAULT_COLD_BOUND = new ColdBound(1.5, 5);

    /**
     * Limit on retries, shared by all nodes.
     *
     * @param window length of the sliding window over which requests and retries are counted
     * @param ratio retries allowed per request
     * @param fixed retries allowed in addition to the ratio
     */
    public record RetryLimits(Duration window, double ratio, double fixed) {
        /** The default if the settings give no limit. */
        public static final RetryLimits DEFAULT = new RetryLimits(Duration.ofSeconds(10), 0.2, 50);
    }

    private ServingSetup(Builder builder) {
        self = builder.self;
        domain = builder.domain;
        decoder = builder.decoder;
        seeds = List.copyOf(builder.seeds);
        retryLimits = builder.retryLimits;
        drainGrace = builder.drainGrace;
        features = builder.features;
        capacity = builder.capacity;
        coldBound = builder.coldBound;
        rolloutLimits = builder.rolloutLimits;
        acceptsTunnels = builder.acceptsTunnels;
        contention = builder.contention;
        startedAt = builder.startedAt;
    }

    /** Creates a builder without seeds. */
    public static Builder builder(NodeId self, DomainId domain, RecordDecoder decoder) {
        return new Builder(self, domain, decoder);
    }

    /** Identifies this run of this node. */
    public NodeId self() {
        return self;
    }

    /** The failure domain of this node. */
    public DomainId domain() {
        return domain;
    }

    /** Decodes feed records. */
    public RecordDecoder decoder() {
        return decoder;
    }

    /** Nodes to contact at startup. */
    public List<VmId> seeds() {
        return seeds;
    }

    /** The limit on retries. */
    public RetryLimits retryLimits() {
        return retryLimits;
    }

    /** The time between the signal to shut down and the kill of the process. */
    public Duration drainGrace() {
        return drainGrace;
    }

    /** The policy features that are enabled. */
    public PolicyFeatures features() {
        return features;
    }

    /** The CPU capacity of this node, in cores of the slowest kind. */
    public double capacity() {
        return capacity;
    }

    /** The limit on requests to a cold upstream. */
    public ColdBound coldBound() {
        return coldBound;
    }

    /** The limit on requests that an unproven version gets. */
    public RolloutLimits rolloutLimits() {
        return rolloutLimits;
    }

    /** Whether this node forwards connections of other nodes to upstreams. */
    public boolean acceptsTunnels() {
        return acceptsTunnels;
    }

    /** When the policy features for contended or uneven upstreams take effect. */
    public Contention contention() {
        return contention;
    }

    /** When this run of the node started; an earlier run may have served until then. */
    public Instant startedAt() {
        return startedAt;
    }

    /** Builds a {@link ServingSetup}. */
    public static final class Builder {
        private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);

        private final NodeId self;
        private final DomainId domain;
        private final RecordDecoder decoder;
        private final List<VmId> seeds = new ArrayList<>();
        private RetryLimits retryLimits = RetryLimits.DEFAULT;
        private Duration drainGrace = DEFAULT_GRACE;
        private PolicyFeatures features = PolicyFeatures.ALL;
        private double capacity = 1;
        private ColdBound coldBound = DEFAULT_COLD_BOUND;
        private RolloutLimits rolloutLimits = RolloutLimits.DEFAULT;
        private boolean acceptsTunnels;
        private Contention contention = Contention.ANNOUNCED;
        private Instant startedAt = Instant.EPOCH;

        private Builder(NodeId self, DomainId domain, RecordDecoder decoder) {
            this.self = self;
            this.domain = domain;
            this.decoder = decoder;
        }

        /** Adds a node to contact at startup. */
        public Builder seed(VmId seed) {
            seeds.add(seed);
            return this;
        }

        /** Sets the limit on retries. */
        public Builder retryLimits(RetryLimits bound) {
            retryLimits = bound;
            return this;
        }

        /** Sets the time between the signal to shut down and the kill of the process. */
        public Builder drainGrace(Duration grace) {
            drainGrace = grace;
            return this;
        }

        /** Sets the policy features that are enabled. */
        public Builder features(PolicyFeatures used) {
            features = used;
            return this;
        }

        /** Sets the CPU capacity of this node, in cores of the slowest kind. */
        public Builder capacity(double cores) {
            capacity = cores;
            return this;
        }

        /** Sets the limit on requests to a cold upstream. */
        public Builder coldBound(ColdBound bound) {
            coldBound = bound;
            return this;
        }

        /** Sets the limit on requests that an unproven version gets. */
        public Builder rolloutLimits(RolloutLimits limits) {
            rolloutLimits = limits;
            return this;
        }

        /** Sets whether the node forwards connections of other nodes to upstreams. */
        public Builder acceptsTunnels(boolean accepts) {
            acceptsTunnels = accepts;
            return this;
        }

        /** Sets when the policy features for contended or uneven upstreams take effect. */
        public Builder contention(Contention when) {
            contention = when;
            return this;
        }

        /** Sets when this run started; if not set, no earlier run of the node is assumed to have served recently. */
        public Builder startedAt(Instant time) {
            startedAt = time;
            return this;
        }

        public ServingSetup build() {
            return new ServingSetup(this);
        }
    }
}
