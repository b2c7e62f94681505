package org.wagtaillug.serving;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.quarantine.Quarantine;
import org.wagtaillug.retry.RetryBudget;

/** Decides which requests are sent to another upstream after an attempt, within the budget of all nodes. */
final class RetryDecisions {
    /** Limit on attempts of one request that was not executed, independent of its route. */
    private static final int MAX_ATTEMPTS = 3;

    /** Upstreams that may crash under a request whose prompt may be the cause; fewer than lead to a quarantine. */
    private static final int MAX_CRASHES_OF_PROMPT = 2;

    /** How the attempt before a retry ended. */
    enum Cause {
        /** No byte reached the upstream. */
        NOT_SENT,
        /** The upstream did not execute the request. */
        REJECTED,
        /** The upstream did not execute the request, as an input is gone. */
        INPUTS_GONE,
        /** The upstream executed the request and reported a failure. */
        FAILED,
        /** The answer ended before it was complete. */
        BROKEN
    }

    private final Instant startedAt;
    private final ServingSetup.RetryLimits limits;
    private final Roster roster;
    private final RemainingTimeEstimate remainingTime;
    private final Shutdown shutdown;
    private final QuarantineExchange quarantine;
    private final FlowLog log;
    private final Map<PoolId, RetryBudget> budgets = new HashMap<>();

    RetryDecisions(
            ServingSetup setup,
            Roster roster,
            RemainingTimeEstimate remainingTime,
            Shutdown shutdown,
            QuarantineExchange quarantine,
            FlowLog log) {
        this.startedAt = setup.startedAt();
        this.limits = setup.retryLimits();
        this.roster = roster;
        this.remainingTime = remainingTime;
        this.shutdown = shutdown;
        this.quarantine = quarantine;
        this.log = log;
    }

    private RetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(pool, id -> new RetryBudget(limits.window(), limits.ratio()));
    }

    /**
     * What this node may spend. Nothing until what an earlier run may have spent is older than the window, and nothing at
     * shutdown, as a later run may begin before this one ends. No part of the fixed retries before the members are known.
     */
    private RetryBudget.Share share(Instant now) {
        boolean open = !shutdown.started() && !now.isBefore(startedAt.plus(limits.window()));
        double fixed = roster.listed() ? limits.fixed() / Math.max(1, roster.size()) : 0;
        return new RetryBudget.Share(fixed, limits.fixed() / roster.sharingNodes(), open);
    }

    /** Adds a request to those by which the budget of its pool is measured. */
    void onRequest(PoolId pool, Instant now) {
        budget(pool).onRequest(now);
    }

    /** Whether a request of which no upstream received anything may be sent once more. */
    boolean tryAfterNoSend(Flow flow, Instant now) {
        return logged(flow, Cause.NOT_SENT, attemptsLeft(flow), now);
    }

    /** Whether a request that was not executed can be retried; takes a retry from the budget if so. */
    boolean tryAfterRejection(Flow flow, Cause cause, Instant now) {
        return tryAcquire(flow, cause, attemptsLeft(flow), now);
    }

    /** Whether a request that may have been executed can be retried; takes a retry from the budget if so. */
    boolean tryAfterExecution(Flow flow, Cause cause, Instant now) {
        boolean permitted = flow.route().repeatable()
                && !mayCrashAnother(flow, now)
                && attemptsLeftAfterExecution(flow)
                && now.isBefore(flow.deadline())
                && shutdown.hasTimeFor(remainingTime.fromSending(flow, now), now);
        return tryAcquire(flow, cause, permitted, now);
    }

    private boolean tryAcquire(Flow flow, Cause cause, boolean permitted, Instant now) {
        boolean allowed = permitted && budget(flow.pool()).tryAcquire(share(now), now);
        if (allowed) {
            flow.grantRetry();
        }
        return logged(flow, cause, allowed, now);
    }

    private boolean attemptsLeft(Flow flow) {
        return flow.attempts() < MAX_ATTEMPTS;
    }

    private boolean logged(Flow flow, Cause cause, boolean allowed, Instant now) {
        log.retry(
                flow,
                cause,
                quarantine.crashes(flow.request()),
                allowed,
                budget(flow.pool()).usage(share(now), now));
        return allowed;
    }

    private static boolean attemptsLeftAfterExecution(Flow flow) {
        return Math.max(flow.executions(), flow.runsOnLivingUpstreams())
                < flow.route().attempts();
    }

    /** Whether a request must not be sent to another upstream, as too many may have crashed under it. */
    boolean mayCrashAnother(Flow flow, Instant now) {
        int crashes = flow.crashedRuns().size();
        if (flow.trial() || crashes >= Quarantine.MAX_CRASHES_OF_REQUEST) {
            return true;
        }
        boolean ofPrompt = crashes >= MAX_CRASHES_OF_PROMPT && quarantine.mayCrash(flow.request(), now);
        return ofPrompt || (crashes > 0 && quarantine.crashes(flow.request()) >= Quarantine.MAX_CRASHES_OF_REQUEST);
    }
}
