package org.wagtaillug.feed;

import org.wagtaillug.id.PoolId;
import org.wagtaillug.rollout.RolloutStatus;

/** The decoded content of a record of the rollouts feed. */
public sealed interface RolloutItem {
    /**
     * The status of a rollout was written.
     *
     * @param pool the pool of the rollout
     * @param status its status
     */
    record Reported(PoolId pool, RolloutStatus status) implements RolloutItem {}

    /**
     * The status of a pool's rollout was removed.
     *
     * @param pool the pool of the rollout
     */
    record Removed(PoolId pool) implements RolloutItem {}

    /**
     * A record that this version of the program does not handle.
     *
     * @param reason the reason, for the log
     */
    record Ignored(String reason) implements RolloutItem {}
}
