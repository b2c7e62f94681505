package org.wagtaillug.drain;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The order in which a node gives up its work: first readiness, then new requests, then its place in the roster.
 *
 * <p>The platform's balancer learns of the lost readiness only at its next look, so requests still come for a while and
 * are still served; only after {@link #BALANCER_DELAY} is a new one refused.
 */
public final class Drain {
    /** How long the balancer may take to stop sending. */
    public static final Duration BALANCER_DELAY = Duration.ofSeconds(2);

    /** How long the node waits at most for what it has begun. */
    public static final Duration LONGEST = Duration.ofSeconds(30);

    private Optional<Instant> startedAt = Optional.empty();
    private boolean left;

    /** What is due. */
    public enum Step {
        /** Nothing was asked. */
        SERVING,
        /** Not ready, but whatever comes is served. */
        LEAVING_BALANCER,
        /** New requests are refused; what was begun goes on. */
        FINISHING,
        /** Everything is answered: leave the roster now. Given once. */
        LEAVE,
        /** Everything is done. */
        FINISHED
    }

    /** Begins; asking twice changes nothing. */
    public void start(Instant now) {
        if (startedAt.isEmpty()) {
            startedAt = Optional.of(now);
        }
    }

    /** Whether it has begun. */
    public boolean started() {
        return startedAt.isPresent();
    }

    /** Whether a new request must be refused. */
    public boolean refuses(Instant now) {
        return startedAt.isPresent() && !now.isBefore(startedAt.get().plus(BALANCER_DELAY));
    }

    /**
     * Says what is due.
     *
     * @param idle whether every request is answered, every attempt ended and every claim settled
     * @param departed whether the roster no longer has this node
     */
    public Step step(boolean idle, boolean departed, Instant now) {
        if (startedAt.isEmpty()) {
            return Step.SERVING;
        }
        if (!refuses(now)) {
            return Step.LEAVING_BALANCER;
        }
        boolean late = !now.isBefore(startedAt.get().plus(LONGEST));
        if (!idle && !late) {
            return Step.FINISHING;
        }
        if (!left) {
            left = true;
            return Step.LEAVE;
        }
        return departed || late ? Step.FINISHED : Step.FINISHING;
    }
}
