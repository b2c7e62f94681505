package org.wagtaillug.batch;

import java.time.Duration;

/**
 * The present load of a pool, as seen by an order of one rank.
 *
 * @param itemsPerSecond the rate at which the pool serves items
 * @param availableItemsPerSecond the part of that rate that is left by orders of lower ranks
 * @param queuedItems the number of queued items that are served before the order
 * @param callDuration the expected duration of the call of the order while there is no work ahead
 * @param fullCallDuration the expected duration of a full call
 * @param freeBytes the free room for results at all usable servers, less what queued items will take; may be negative
 * @param releasedBytesPerSecond the recent rate of releases
 * @param resultLifetime the time after which a result frees its room without a release
 * @param pause the time until a server accepts a request, as the servers ask for
 */
record PoolLoad(
        double itemsPerSecond,
        double availableItemsPerSecond,
        int queuedItems,
        Duration callDuration,
        Duration fullCallDuration,
        double freeBytes,
        double releasedBytesPerSecond,
        Duration resultLifetime,
        Duration pause) {}
