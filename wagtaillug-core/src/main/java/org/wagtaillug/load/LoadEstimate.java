package org.wagtaillug.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Rendezvous;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;

/**
 * Raises the expected cost of upstreams by the load that they report. Without the feature, or without a report, a cost stays
 * as it is.
 *
 * <p>Designed for pools of up to 112 upstreams, one choice for each request of a node.
 */
public final class LoadEstimate {
    private final LoadView view;
    private final ContentionSwitch contention;
    private final VmId node;
    private final Rendezvous rendezvous = new Rendezvous();

    /**
     * What was known of the load of an upstream when it was chosen.
     *
     * @param slowdown how long work was expected to take, as a multiple of the usual time
     * @param age the time since the report
     */
    public record Observation(double slowdown, Duration age) {}

    /**
     * Creates an estimate.
     *
     * @param node the node that chooses, for the order of upstreams of equal cost
     */
    public LoadEstimate(LoadView view, ContentionSwitch contention, VmId node) {
        this.view = view;
        this.contention = contention;
        this.node = node;
    }

    /** Creates an estimate that never raises a cost. */
    public static LoadEstimate off() {
        return new LoadEstimate(new LoadView(), ContentionSwitch.off(), new VmId("none"));
    }

    /** Whether reports enter decisions now. */
    public boolean inEffect() {
        return contention.uses(PolicyFeature.LOAD_VIEW);
    }

    /**
     * The expected completion of a plain request: the usual one times the slowdown, with the requests beyond the slots
     * ahead of it.
     *
     * @param perRequest the usual duration of a request
     * @param inFlight the requests of this node that are in flight there
     */
    public Duration completion(VmId upstream, Duration perRequest, int inFlight, Instant now) {
        LoadView.Influence influence = view.influence(upstream, now);
        double requests = inFlight + 1 + influence.excess();
        return Duration.ofNanos(Math.round(perRequest.toNanos() * requests * influence.slowdown()));
    }

    /**
     * The tokens that an engine is expected to read before an answer begins, in tokens that it reads at its usual speed.
     *
     * @param tokens the tokens to read by what this node knows
     * @param promptTokens the length of the prompt; requests that wait there are assumed to be as long, as their lengths
     *     are not reported
     */
    public long tokensToRead(VmId upstream, long tokens, int promptTokens, Instant now) {
        LoadView.Influence influence = view.influence(upstream, now);
        return Math.round((tokens + influence.waiting() * promptTokens) * influence.slowdown());
    }

    /** The position of an upstream among those of equal cost, which differs from node to node; the lowest is chosen. */
    public long position(VmId upstream) {
        return rendezvous.score(node.value(), upstream.value());
    }

    /** What is known of the load of an upstream; empty without a report, or if reports enter no decision. */
    public Optional<Observation> observation(VmId upstream, Instant now) {
        if (!inEffect()) {
            return Optional.empty();
        }
        return view.age(upstream, now).map(age -> new Observation(view.slowdown(upstream, now), age));
    }
}
