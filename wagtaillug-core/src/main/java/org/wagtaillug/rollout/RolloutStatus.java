package org.wagtaillug.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * How far a rollout is, as the store holds it for all nodes.
 *
 * @param order the id of the order that it answers
 * @param version the version to move to
 * @param state how far it is
 * @param share the share of the pool's requests that go to the version, 0 to 1
 * @param elapsed the time from the order to this status, as the node that wrote it knew it
 * @param replaced the versions that the pool had before
 */
public record RolloutStatus(
        long order, String version, State state, double share, Duration elapsed, Set<String> replaced) {
    /** Copies the set. */
    public RolloutStatus {
        replaced = Set.copyOf(replaced);
    }

    /** How far a rollout is. */
    public enum State {
        /** Both versions are there; the new one gets a share. */
        IN_PROGRESS,
        /** The new version gets everything. Final. */
        COMPLETED,
        /** The new version gets nothing any more. Final. */
        REVERTED;

        /** Whether nothing follows it. */
        public boolean isFinal() {
            return this != IN_PROGRESS;
        }
    }

    /** The status of an order of which nothing is written yet. */
    public static RolloutStatus begun(RolloutOrder order, Set<String> replaced) {
        return new RolloutStatus(order.id(), order.version(), State.IN_PROGRESS, 0, Duration.ZERO, replaced);
    }

    /** The same rollout with another share. */
    public RolloutStatus withShare(double newest, Duration since) {
        return new RolloutStatus(order, version, state, newest, since, replaced);
    }

    /** The same rollout with further versions that the new one takes the place of. */
    public RolloutStatus replacing(Set<String> versions) {
        Set<String> all = new HashSet<>(replaced);
        all.addAll(versions);
        return new RolloutStatus(order, version, state, share, elapsed, all);
    }

    /** The same rollout at its end. */
    public RolloutStatus ended(State end, Duration since) {
        return new RolloutStatus(order, version, end, end == State.COMPLETED ? 1 : 0, since, replaced);
    }
}
