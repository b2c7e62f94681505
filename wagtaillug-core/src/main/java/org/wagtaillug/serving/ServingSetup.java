package org.wagtaillug.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.rollout.RolloutLimits;
import org.wagtaillug.routing.UpstreamLimits.ColdBound;

/**
 * What a node is told at its start. Immutable.
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
    private final Repeats repeats;
    private final Duration drainGrace;
    private final PolicyFeatures features;
    private final double capacity;
    private final ColdBound coldBound;
    private final RolloutLimits rolloutLimits;

    private static final ColdBound DEFAULT_COLD_BOUND = new ColdBound(1.5, 5);

    /**
     * The bound on repeats that holds for all nodes together.
     *
     * @param window any span of this length counts
     * @param ratio repeats per request
     * @param fixed repeats beyond that
     */
    public record Repeats(Duration window, double ratio, double fixed) {
        /** Holds unless the settings say otherwise. */
        public static final Repeats USUAL = new Repeats(Duration.ofSeconds(10), 0.2, 50);
    }

    private ServingSetup(Builder builder) {
        self = builder.self;
        domain = builder.domain;
        decoder = builder.decoder;
        seeds = List.copyOf(builder.seeds);
        repeats = builder.repeats;
        drainGrace = builder.drainGrace;
        features = builder.features;
        capacity = builder.capacity;
        coldBound = builder.coldBound;
        rolloutLimits = builder.rolloutLimits;
    }

    /** Starts a setup without seeds. */
    public static Builder builder(NodeId self, DomainId domain, RecordDecoder decoder) {
        return new Builder(self, domain, decoder);
    }

    /** This run of this node. */
    public NodeId self() {
        return self;
    }

    /** Its failure domain. */
    public DomainId domain() {
        return domain;
    }

    /** Reads the records of feeds. */
    public RecordDecoder decoder() {
        return decoder;
    }

    /** Nodes that are likely to be there. */
    public List<VmId> seeds() {
        return seeds;
    }

    /** The bound on repeats. */
    public Repeats repeats() {
        return repeats;
    }

    /** How long after the word to end the process is killed. */
    public Duration drainGrace() {
        return drainGrace;
    }

    /** The ways of deciding that it uses. */
    public PolicyFeatures features() {
        return features;
    }

    /** The processor of this node, in cores of the slowest kind. */
    public double capacity() {
        return capacity;
    }

    /** The bound on requests that a cold upstream gets. */
    public ColdBound coldBound() {
        return coldBound;
    }

    /** What a version that may be bad gets at most. */
    public RolloutLimits rolloutLimits() {
        return rolloutLimits;
    }

    /** Collects the parts of a {@link ServingSetup}. */
    public static final class Builder {
        private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);

        private final NodeId self;
        private final DomainId domain;
        private final RecordDecoder decoder;
        private final List<VmId> seeds = new ArrayList<>();
        private Repeats repeats = Repeats.USUAL;
        private Duration drainGrace = DEFAULT_GRACE;
        private PolicyFeatures features = PolicyFeatures.ALL;
        private double capacity = 1;
        private ColdBound coldBound = DEFAULT_COLD_BOUND;
        private RolloutLimits rolloutLimits = RolloutLimits.DEFAULT;

        private Builder(NodeId self, DomainId domain, RecordDecoder decoder) {
            this.self = self;
            this.domain = domain;
            this.decoder = decoder;
        }

        /** Adds a node that is likely to be there. */
        public Builder seed(VmId seed) {
            seeds.add(seed);
            return this;
        }

        /** Sets the bound on repeats. */
        public Builder repeats(Repeats bound) {
            repeats = bound;
            return this;
        }

        /** Sets how long after the word to end the process is killed. */
        public Builder drainGrace(Duration grace) {
            drainGrace = grace;
            return this;
        }

        /** Sets the ways of deciding that it uses. */
        public Builder features(PolicyFeatures used) {
            features = used;
            return this;
        }

        /** Sets the processor of this node, in cores of the slowest kind. */
        public Builder capacity(double cores) {
            capacity = cores;
            return this;
        }

        /** Sets the bound on requests that a cold upstream gets. */
        public Builder coldBound(ColdBound bound) {
            coldBound = bound;
            return this;
        }

        /** Sets what a version that may be bad gets at most. */
        public Builder rolloutLimits(RolloutLimits limits) {
            rolloutLimits = limits;
            return this;
        }

        /** Makes the setup. */
        public ServingSetup build() {
            return new ServingSetup(this);
        }
    }
}
