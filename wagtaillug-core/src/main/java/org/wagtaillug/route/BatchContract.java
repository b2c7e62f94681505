package org.wagtaillug.route;

import java.time.Duration;

/**
 * The capacity of one server of a pool for the pieces of steps.
 *
 * @param slots the maximum number of concurrent calls
 * @param batch the maximum number of pieces in a call
 * @param callTime the fixed duration of a call
 * @param pieceTime the approximate additional duration per piece
 * @param resultCapacityBytes the storage capacity for results that have not been released
 * @param resultLifetime how long an unreleased result is kept after its call
 */
public record BatchContract(
        int slots,
        int batch,
        Duration callTime,
        Duration pieceTime,
        long resultCapacityBytes,
        Duration resultLifetime) {
    /** The expected duration of a call with so many pieces. */
    public Duration callOf(int pieces) {
        return callTime.plus(pieceTime.multipliedBy(pieces));
    }
}
