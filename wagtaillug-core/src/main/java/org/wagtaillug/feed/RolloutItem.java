package org.wagtaillug.feed;

import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutStatus;

/** What a record of the rollouts feed says. */
public sealed interface RolloutItem {
    /**
     * How far a rollout is.
     *
     * @param pool whose
     * @param status how far
     */
    record Reported(PoolId pool, RolloutStatus status) implements RolloutItem {}

    /**
     * Nothing is known of a pool's rollout any more.
     *
     * @param pool which
     */
    record Removed(PoolId pool) implements RolloutItem {}

    /**
     * Nothing that this version of the program acts on.
     *
     * @param reason for the log
     */
    record Ignored(String reason) implements RolloutItem {}
}
