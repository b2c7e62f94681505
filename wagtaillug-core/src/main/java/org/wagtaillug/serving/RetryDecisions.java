package org.wagtaillug.serving;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.retry.RetryBudget;

/** Decides which requests are sent to another upstream after an attempt, within the budget of all nodes. */
final class RetryDecisions {
    /** Limit on attempts of one request that was not executed, independent of its route. */
    private static final int MAX_ATTEMPTS = 3;

    /** Upstreams that may crash under one request whose prompt may be the cause; fewer than lead to a quarantine. */
    private static final int MAX_CRASHES = 2;

    private final ServingSetup.RetryLimits limits;
    private final Roster roster;
    private final RemainingTimeEstimate remainingTime;
    private final Shutdown shutdown;
    private final QuarantineExchange quarantine;
    private final Map<PoolId, RetryBudget> budgets = new HashMap<>();

    RetryDecisions(
            ServingSetup.RetryLimits limits,
            Roster roster,
            RemainingTimeEstimate remainingTime,
            Shutdown shutdown,
            QuarantineExchange quarantine) {
        this.limits = limits;
        this.roster = roster;
        this.remainingTime = remainingTime;
        this.shutdown = shutdown;
        this.quarantine = quarantine;
    }

    private RetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool, id -> new RetryBudget(limits.window(), limits.ratio(), limits.fixed(), roster::sharingNodes));
    }

    /** Adds a request to those by which the budget of its pool is measured. */
    void onRequest(PoolId pool, Instant now) {
        budget(pool).onRequest(now);
    }

    /** Whether a request of which no upstream received anything may be sent once more. */
    boolean attemptsLeft(Flow flow) {
        return flow.attempts() < MAX_ATTEMPTS;
    }

    /** Whether a request that was not executed can be retried; takes a retry from the budget if so. */
    boolean tryAfterRejection(Flow flow, Instant now) {
        return attemptsLeft(flow) && budget(flow.pool()).tryAcquire(now);
    }

    /** Whether a request that may have been executed can be retried; takes a retry from the budget if so. */
    boolean tryAfterExecution(Flow flow, Instant now) {
        boolean allowed = flow.route().repeatable()
                && !mayCrashAnother(flow, now)
                && flow.executions() < flow.route().attempts()
                && now.isBefore(flow.deadline())
                && shutdown.hasTimeFor(remainingTime.fromSending(flow, now), now);
        return allowed && budget(flow.pool()).tryAcquire(now);
    }

    private boolean mayCrashAnother(Flow flow, Instant now) {
        return flow.trial() || (flow.crashes() >= MAX_CRASHES && quarantine.mayCrash(flow.request(), now));
    }
}
