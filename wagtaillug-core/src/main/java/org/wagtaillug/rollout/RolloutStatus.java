package org.wagtaillug.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * The progress of a rollout, as stored for all nodes.
 *
 * @param order the id of the order that it belongs to
 * @param version the version to move to
 * @param state the state of the rollout
 * @param share the share of the pool's requests that go to the version, 0 to 1
 * @param elapsed the time from the order to this status, according to the node that wrote it
 * @param replaced the versions that the pool had before the rollout
 */
public record RolloutStatus(
        long order, String version, State state, double share, Duration elapsed, Set<String> replaced) {
    /** Makes a defensive copy of the set. */
    public RolloutStatus {
        replaced = Set.copyOf(replaced);
    }

    /** The state of a rollout. */
    public enum State {
        /** Both versions receive requests; the new one receives a share. */
        IN_PROGRESS,
        /** The new version receives all requests. Final. */
        COMPLETED,
        /** The new version receives no more requests. Final. */
        REVERTED;

        /** Whether no other state can follow. */
        public boolean isFinal() {
            return this != IN_PROGRESS;
        }
    }

    /** The initial status of an order that has no stored status yet. */
    public static RolloutStatus initial(RolloutOrder order, Set<String> replaced) {
        return new RolloutStatus(order.id(), order.version(), State.IN_PROGRESS, 0, Duration.ZERO, replaced);
    }

    /** Returns this status with another share. */
    public RolloutStatus withShare(double newShare, Duration sinceOrder) {
        return new RolloutStatus(order, version, state, newShare, sinceOrder, replaced);
    }

    /** Returns this status with additional replaced versions. */
    public RolloutStatus withReplaced(Set<String> versions) {
        Set<String> all = new HashSet<>(replaced);
        all.addAll(versions);
        return new RolloutStatus(order, version, state, share, elapsed, all);
    }

    /** Returns this status with a final state. */
    public RolloutStatus ended(State finalState, Duration sinceOrder) {
        return new RolloutStatus(
                order, version, finalState, finalState == State.COMPLETED ? 1 : 0, sinceOrder, replaced);
    }

    /** Whether this is an earlier status of the same order than another one. */
    public boolean earlierThan(RolloutStatus other) {
        boolean ended = other.state().isFinal() && !state.isFinal();
        return order == other.order() && (ended || elapsed.compareTo(other.elapsed()) < 0);
    }
}
