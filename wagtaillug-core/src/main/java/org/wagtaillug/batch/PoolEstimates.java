package org.wagtaillug.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.batch.BatchCallEnd.ItemAnswer;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.BatchContract;

/** What a scheduler measures of its pools, and expects of them from that: durations of calls, rates and room for results. */
final class PoolEstimates {
    /** Lower bound on the throughput share assumed for low priorities. */
    private static final double MIN_SHARE = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final PolicyFeatures features;
    private final ContentionSwitch contention;
    private final CallGate gate;
    private final Map<PoolId, PoolThroughput> throughputs = new HashMap<>();
    private final Map<PoolId, CallDurations> callDurations = new HashMap<>();
    private final Map<PoolId, RecentReleases> recentReleases = new HashMap<>();

    PoolEstimates(PolicyFeatures features, ContentionSwitch contention, CallGate gate) {
        this.features = features;
        this.contention = contention;
        this.gate = gate;
    }

    PoolThroughput throughput(PoolId pool) {
        return throughputs.computeIfAbsent(pool, id -> new PoolThroughput());
    }

    RecentReleases recentReleases(PoolId pool) {
        return recentReleases.computeIfAbsent(pool, id -> new RecentReleases());
    }

    /**
     * Records the duration of a call. Returns the duration that was expected of it: the usual one at the pool, so that what all
     * of its servers take longer does not count as slowness of each server as well.
     */
    Duration onAnswered(PoolId pool, List<BatchQueue.QueuedItem> items, List<ItemAnswer> answers, Duration took) {
        BatchContract contract = items.getFirst().state().contract();
        Duration expected = callOf(pool, contract, items.size());
        // A call in which items were not computed takes less time than others.
        if (answers.stream().allMatch(ItemAnswer.Made.class::isInstance)) {
            callDurations.computeIfAbsent(pool, id -> new CallDurations()).onCall(contract, items.size(), took);
        }
        return expected;
    }

    /** The expected duration of a call with so many items: observed, or as configured. */
    Duration callOf(PoolId pool, BatchContract contract, int items) {
        CallDurations observed = contention.uses(PolicyFeature.OBSERVED_CALLS) ? callDurations.get(pool) : null;
        return observed == null ? contract.callOf(items) : observed.expected(contract, items);
    }

    /** The observed duration of a full call; empty if it is not known, or not used. */
    Optional<Duration> fullCall(PoolId pool, BatchContract contract) {
        CallDurations observed = callDurations.get(pool);
        boolean used = contention.uses(PolicyFeature.OBSERVED_CALLS) && observed != null && observed.known();
        return used ? Optional.of(observed.expected(contract, contract.batch())) : Optional.empty();
    }

    /** The expected duration of the call of an order that arrives now, which items that are queued before it share. */
    Duration callOfOrder(BatchOrder order, BatchContract contract, int queued) {
        int sharing = contention.uses(PolicyFeature.OBSERVED_CALLS) ? queued : 0;
        return callOf(order.pool(), contract, Math.min(order.items() + sharing, contract.batch()));
    }

    /** The expected duration of the next call of a queue; a pool with a short queue has small calls. */
    Duration nextCall(BatchOrder order, BatchContract contract, int queued) {
        return contention.uses(PolicyFeature.OBSERVED_CALLS)
                ? callOf(order.pool(), contract, Math.clamp(queued, 1, contract.batch()))
                : contract.callOf(1);
    }

    /** The rate at which the usable servers of a pool serve items, per second. */
    double poolRate(PoolId pool, BatchContract contract, List<StageServer> usable, Instant now) {
        boolean observed = features.uses(PolicyFeature.OBSERVED_WAIT);
        double items = contract.batch() * (observed ? throughput(pool).fillRatio() : 1);
        double seconds = callOf(pool, contract, (int) Math.ceil(items)).toNanos() / NANOS_PER_SECOND;
        double poolRate = 0;
        for (StageServer server : usable) {
            double callRate = contract.slots() / (seconds * Math.max(1, server.slowness()));
            poolRate += items * Math.min(callRate, gate.rate(server.listing(), now));
        }
        return poolRate;
    }

    /** The part of a pool's rate that recent arrivals of lower ranks leave to a rank. */
    double availableRate(PoolId pool, int rank, double poolRate, Instant now) {
        boolean observed = features.uses(PolicyFeature.OBSERVED_WAIT);
        double higherPriorityRate = observed ? throughput(pool).rateBelow(rank, now) : 0;
        return Math.max(poolRate - higherPriorityRate, poolRate * MIN_SHARE);
    }

    /** The time until the first of some servers accepts a request, as the servers ask for. */
    Duration shortestPause(List<StageServer> usable, Instant now) {
        return usable.stream()
                .map(server -> gate.pause(server.listing(), now))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** The present load of a pool, as a step sees it for which capacity is to be reserved. */
    PoolLoad load(Reservation wanted, BatchContract contract, BatchQueue queue, List<StageServer> usable, Instant now) {
        PoolId pool = wanted.pool();
        int rank = wanted.urgency().rank();
        double poolRate = poolRate(pool, contract, usable, now);
        double freeBytes = -queue.resultBytes(rank);
        for (StageServer server : usable) {
            freeBytes += server.freeCapacity(contract, now);
        }
        return new PoolLoad(
                poolRate,
                availableRate(pool, rank, poolRate, now),
                queue.countAhead(rank, now),
                callOf(pool, contract, Math.min(wanted.items(), contract.batch())),
                callOf(pool, contract, contract.batch()),
                freeBytes,
                recentReleases(pool).bytesPerSecond(now),
                contract.resultLifetime(),
                shortestPause(usable, now));
    }
}
