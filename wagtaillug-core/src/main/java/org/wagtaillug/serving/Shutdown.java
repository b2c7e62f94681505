package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.drain.GracePeriod;

/**
 * The shutdown of a node: it reports at once that it is not ready, continues to serve what it can answer in time, and
 * ends when the load balancer has noticed and all requests are answered, or when its grace period is over.
 */
final class Shutdown {
    /**
     * The load balancer probes readiness once a second and removes a node after two failures; half a second is added
     * for requests in transit.
     */
    private static final Duration READINESS_PROPAGATION_DELAY = Duration.ofMillis(2500);

    private final GracePeriod grace;
    private boolean propagationReported;
    private boolean finishReported;
    private boolean portsClosing;

    /** Creates the shutdown of a node that is killed after this grace period. */
    Shutdown(Duration grace) {
        this.grace = new GracePeriod(grace);
    }

    void start(Instant requestedAt) {
        grace.start(requestedAt);
    }

    boolean started() {
        return grace.started();
    }

    /** The time since the shutdown signal; zero if there was none. */
    Duration since(Instant now) {
        return grace.since(now);
    }

    /** Whether work of this duration completes before the final answers have to be given. */
    boolean hasTimeFor(Duration needed, Instant now) {
        return !portsClosing && grace.hasTimeFor(needed, now);
    }

    /** Whether open requests must get their final answers now. */
    boolean outOfTime(Instant now) {
        return grace.outOfTime(now);
    }

    /**
     * Makes {@link #hasTimeFor} false for any duration: a request that is read while the ports close would be cut off.
     */
    void closePorts() {
        portsClosing = true;
    }

    /** Returns true once, when the load balancer sends nothing more, provided that it has another node. */
    boolean pollReadinessPropagated(Instant now) {
        if (propagationReported || !readinessPropagated(now)) {
            return false;
        }
        propagationReported = true;
        return true;
    }

    private boolean readinessPropagated(Instant now) {
        return started() && grace.since(now).compareTo(READINESS_PROPAGATION_DELAY) >= 0;
    }

    /** Returns true once, when the process may exit. */
    boolean pollFinished(boolean idle, Instant now) {
        if (finishReported || !started()) {
            return false;
        }
        finishReported = (idle && readinessPropagated(now)) || outOfTime(now);
        return finishReported;
    }
}
