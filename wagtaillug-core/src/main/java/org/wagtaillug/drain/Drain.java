package org.wagtaillug.drain;

import java.time.Duration;
import java.time.Instant;

/**
 * The shutdown sequence of a node: it first becomes not ready, then refuses new requests, then leaves the roster.
 *
 * <p>The platform's balancer notices the lost readiness only at its next check, so requests still arrive for a while.
 * Those that fit into the remaining time are served; after {@link #BALANCER_DELAY} all new requests are refused. The
 * process is killed at the end of its grace period, so the last answers are given shortly before.
 */
public final class Drain {
    /** The time that the balancer may take to stop sending requests. */
    public static final Duration BALANCER_DELAY = Duration.ofSeconds(2);

    private final GracePeriod grace;
    private boolean leaveReturned;
    private boolean finished;

    /** The steps of the shutdown. */
    public enum Step {
        /** No shutdown was requested. */
        SERVING,
        /** Not ready; new requests are served if they fit into the remaining time. */
        LEAVING_BALANCER,
        /** New requests are refused; requests in flight continue. */
        FINISHING,
        /** All requests are answered; the node must leave the roster now. Returned once. */
        LEAVE,
        /** The shutdown is complete. */
        FINISHED
    }

    /**
     * Creates the sequence; the shutdown has not been requested yet.
     *
     * @param grace the time from the shutdown request until the process is killed
     */
    public Drain(Duration grace) {
        this.grace = new GracePeriod(grace);
    }

    /** Starts the shutdown; further calls have no effect. */
    public void start(Instant now) {
        grace.start(now);
    }

    /** Whether the shutdown has started. */
    public boolean started() {
        return grace.started();
    }

    /** Whether the time for answers is over. */
    public boolean outOfTime(Instant now) {
        return grace.outOfTime(now);
    }

    /** Whether work of the given duration would complete before the time for answers is over. */
    public boolean hasTimeFor(Duration needed, Instant now) {
        return !finished && grace.hasTimeFor(needed, now);
    }

    /** Whether new requests must be refused. */
    public boolean refuses(Instant now) {
        return started() && (finished || outOfTime(now) || grace.since(now).compareTo(BALANCER_DELAY) >= 0);
    }

    /**
     * Returns the current step.
     *
     * @param idle whether all requests are answered, all attempts have ended and all claims are settled
     * @param departed whether this node is no longer in the roster
     */
    public Step step(boolean idle, boolean departed, Instant now) {
        if (!started()) {
            return Step.SERVING;
        }
        if (!refuses(now)) {
            return Step.LEAVING_BALANCER;
        }
        boolean late = outOfTime(now);
        if (!idle && !late) {
            return Step.FINISHING;
        }
        if (!leaveReturned) {
            leaveReturned = true;
            return Step.LEAVE;
        }
        finished = finished || departed || late;
        return finished ? Step.FINISHED : Step.FINISHING;
    }
}
