package org.wagtaillug.route;

import java.time.Duration;

/**
 * The capacity of one server of a pool for the items of steps.
 *
 * @param slots the maximum number of concurrent calls
 * @param batch the maximum number of items in a call
 * @param callTime the fixed duration of a call
 * @param itemTime the approximate additional duration per item
 * @param resultCapacityBytes the storage capacity for results that have not been released
 * @param resultLifetime how long an unreleased result is kept after its call
 */
public record BatchContract(
        int slots, int batch, Duration callTime, Duration itemTime, long resultCapacityBytes, Duration resultLifetime) {
    /** The expected duration of a call with so many items. */
    public Duration callOf(int items) {
        return callTime.plus(itemTime.multipliedBy(items));
    }
}
