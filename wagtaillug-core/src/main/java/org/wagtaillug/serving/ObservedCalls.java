package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.BatchContract;

/**
 * The durations of calls to the pools on the path of a request: as observed by the nodes that schedule them, or as configured
 * where nothing has been observed. A node is told the duration of a full call alone; the fixed part is taken from the contract.
 */
final class ObservedCalls {
    /** A scheduler reports with each reply; after this time without one, the pool may have been replaced. */
    private static final Duration MAX_AGE = Duration.ofMinutes(1);

    private final ContentionSwitch contention;
    private final Function<PoolId, Optional<Duration>> own;
    private final Map<PoolId, Report> reports = new HashMap<>();

    private record Report(Duration fullCall, Instant at) {}

    /**
     * Creates an instance without reports.
     *
     * @param own the durations of full calls that this node observes as a scheduler
     */
    ObservedCalls(ContentionSwitch contention, Function<PoolId, Optional<Duration>> own) {
        this.contention = contention;
        this.own = own;
    }

    /** An instance that always returns configured durations. */
    static ObservedCalls none() {
        return new ObservedCalls(ContentionSwitch.off(), pool -> Optional.empty());
    }

    /** Whether observed durations are used. */
    boolean used() {
        return contention.uses(PolicyFeature.OBSERVED_CALLS);
    }

    /** Records what the scheduler of a pool reports. */
    void onReported(PoolId pool, Optional<Duration> fullCall, Instant now) {
        fullCall.ifPresent(duration -> reports.put(pool, new Report(duration, now)));
    }

    /** The expected duration of a call with so many items. */
    Duration callOf(PoolId pool, BatchContract contract, int items, Instant now) {
        if (!used()) {
            return contract.callOf(items);
        }
        Optional<Duration> full = own.apply(pool).or(() -> reported(pool, now));
        return full.map(duration -> interpolated(contract, duration, items)).orElseGet(() -> contract.callOf(items));
    }

    private Optional<Duration> reported(PoolId pool, Instant now) {
        return Optional.ofNullable(reports.get(pool))
                .filter(report -> !now.isAfter(report.at().plus(MAX_AGE)))
                .map(Report::fullCall);
    }

    private static Duration interpolated(BatchContract contract, Duration fullCall, int items) {
        Duration variable = fullCall.minus(contract.callTime());
        if (variable.isNegative()) {
            return fullCall;
        }
        return contract.callTime().plus(variable.multipliedBy(items).dividedBy(contract.batch()));
    }
}
