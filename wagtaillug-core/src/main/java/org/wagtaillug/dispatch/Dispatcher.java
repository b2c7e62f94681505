package org.wagtaillug.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.admission.Admission;
import org.wagtaillug.configuration.Configuration;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.drain.Drain;
import org.wagtaillug.grant.GrantOwner;
import org.wagtaillug.grant.UpstreamOutcome;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Effects;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;
import org.wagtaillug.retry.AttemptBudget;
import org.wagtaillug.routing.Choice;
import org.wagtaillug.routing.RoutingPolicy;
import org.wagtaillug.routing.Upstreams;

/**
 * Takes each request through the stages of its template to exactly one response.
 *
 * <p>A request is refused as soon as it is known that it cannot be served. A non-idempotent request is sent only after
 * this node has won the claim of its idempotency key, and is never sent again once a byte of it may have reached an
 * upstream.
 */
public final class Dispatcher {
    /**
     * Owners that have lost contact with a grant holder rely on no attempt taking longer than this; see
     * {@link GrantOwner#MAX_ATTEMPT_DURATION}. Not applied to non-idempotent requests: it would report an unknown
     * outcome for a call that may be about to succeed.
     */
    private static final Duration MAX_ATTEMPT_DURATION = GrantOwner.MAX_ATTEMPT_DURATION;

    private static final double HEDGE_QUANTILE = 0.95;
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private final Configuration configuration;
    private final Upstreams upstreams;
    private final RoutingPolicy policy;
    private final KeyClaims claims;
    private final Drain drain;
    private final Admission admission;
    private final LatencyEstimates estimates;
    private final RequestAdmission requestAdmission;
    private final AttemptBudget retries;
    private final AttemptBudget hedges;

    private final Map<RequestId, RequestFlow> flows = new LinkedHashMap<>();
    private final Map<AttemptId, LiveAttempt> attempts = new LinkedHashMap<>();
    private final Map<PoolId, WaitingQueue> queues = new LinkedHashMap<>();
    private final PoolDemands demands = new PoolDemands();
    private long unmatchedEvents;

    /**
     * Creates a dispatcher without requests in flight.
     *
     * @param limits the limits of this node
     * @param configuration the active configuration
     * @param upstreams the state of the upstreams
     * @param policy selects upstreams
     * @param claims acquires the claims of idempotency keys
     * @param drain the state of the shutdown, with the remaining time
     */
    public Dispatcher(
            DispatchLimits limits,
            Configuration configuration,
            Upstreams upstreams,
            RoutingPolicy policy,
            KeyClaims claims,
            Drain drain) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.policy = policy;
        this.claims = claims;
        this.drain = drain;
        this.admission = new Admission(limits.requestsInFlight());
        this.estimates = new LatencyEstimates(upstreams);
        this.requestAdmission = new RequestAdmission(configuration, upstreams, policy, admission, estimates, drain);
        this.retries = new AttemptBudget(limits.retryShare());
        this.hedges = new AttemptBudget(limits.hedgeShare());
    }

    /** Whether a request with this id is in flight; while it is, the id must not be used for another request. */
    public boolean inFlight(RequestId request) {
        return flows.containsKey(request);
    }

    /** The number of requests that have not been answered yet. */
    public int requestsInFlight() {
        return flows.size();
    }

    /** Whether no request and no attempt is in flight, including attempts whose request has already been answered. */
    public boolean idle() {
        return flows.isEmpty() && attempts.isEmpty();
    }

    /** The number of attempt events that matched no attempt in flight. */
    public long unmatchedEvents() {
        return unmatchedEvents;
    }

    /** Admits a request and starts or queues it, or refuses it. */
    public void onRequest(Request request, Instant now, Effects effects) {
        if (flows.containsKey(request.id())) {
            return;
        }
        Either<RequestAdmission.Refused, RequestFlow> admitted =
                requestAdmission.admit(request, pool -> queue(pool).size(), now);
        if (admitted.isLeft()) {
            RequestAdmission.Refused refused = admitted.getLeft();
            effects.add(new Effect.AnswerRefused(request.id(), refused.templateVersion(), refused.refusal()));
            effects.add(new Effect.LogDecision(DispatchDecisions.refused(request, refused.refusal())));
            return;
        }
        RequestFlow flow = admitted.get();
        flows.put(request.id(), flow);
        admission.onAdmitted(request.customer(), share(request));
        retries.onRequest();
        hedges.onRequest();
        if (flow.idempotent()) {
            enqueue(flow, now, effects);
            return;
        }
        flow.markAwaitingClaim();
        claims.requestClaim(
                request.id(), request.key().orElseThrow(), request.bodyDigest(), flow.deadline(), now, effects);
    }

    private double share(Request request) {
        return configuration
                .customer(request.customer())
                .map(CustomerContract::share)
                .orElse(1.0);
    }

    /** This node has won the claim of the request's key and may send the request. */
    public void onClaimAcquired(RequestId id, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            claims.abandon(id, now, effects);
            return;
        }
        flow.markClaimed();
        enqueue(flow, now, effects);
    }

    /** The key has a recorded outcome, which is returned again. */
    public void onClaimRecorded(
            RequestId id, ResultCode code, RunState run, Payload output, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        if (code == ResultCode.SERVED) {
            answerServed(flow, output, effects);
            return;
        }
        answerRefused(flow, new Refusal(code, run, Duration.ZERO, "recorded outcome of this idempotency key"), effects);
    }

    /** The claim of the key was refused. */
    public void onClaimRefused(RequestId id, Refusal refusal, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow != null) {
            answerRefused(flow, refusal, effects);
        }
    }

    /**
     * The caller has disconnected. A non-idempotent request that may have been sent continues; all others are
     * cancelled.
     */
    public void onCallerDisconnected(RequestId id, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        fail(flow, ResultCode.DEADLINE_EXCEEDED, "the caller disconnected", now, effects);
    }

    /** An attempt has made progress. */
    public void onProgress(AttemptId id, Instant now) {
        LiveAttempt live = attempts.get(id);
        if (live == null) {
            unmatchedEvents++;
            return;
        }
        if (!live.progressed()) {
            upstreams.onProgress(live.attempt().upstream().id(), Duration.between(live.startedAt(), now), now);
        }
        live.onProgress(now);
    }

    /** An attempt has ended. */
    public void onEnded(AttemptId id, AttemptEnd end, Instant now, Effects effects) {
        LiveAttempt live = attempts.remove(id);
        if (live == null) {
            unmatchedEvents++;
            return;
        }
        RequestFlow flow = live.flow();
        flow.live().remove(live);
        Duration took = Duration.between(live.startedAt(), now);
        upstreams.onFinished(live.attempt().upstream().id(), outcomeOf(live, end), took, now);
        if (end instanceof AttemptEnd.Completed) {
            estimates.onCompleted(live.attempt().stage().pool(), now);
        }
        if (flows.containsKey(flow.request().id())) {
            onCurrentStageEnded(live, end, now, effects);
        } else if (flow.claimed()) {
            recordLateOutcome(flow, end, now, effects);
        }
        dispatchQueued(live.attempt().stage().pool(), now, effects);
    }

    /**
     * Maps the end of an attempt to the result that is recorded for its upstream. Only a stalled or a cancelled attempt
     * may still be running there. A refused, reset or invalid one has ended, and may mean that the upstream has just
     * started.
     */
    private static UpstreamOutcome outcomeOf(LiveAttempt live, AttemptEnd end) {
        if (live.stalled()) {
            return UpstreamOutcome.FAILED;
        }
        return switch (end) {
            case AttemptEnd.Completed ignored -> UpstreamOutcome.SUCCEEDED;
            case AttemptEnd.Overloaded ignored -> UpstreamOutcome.OVERLOADED;
            case AttemptEnd.Rejected ignored -> UpstreamOutcome.CANCELLED;
            case AttemptEnd.Failed failed
            when live.cancelled() -> failed.byteLeft() ? UpstreamOutcome.ABANDONED : UpstreamOutcome.CANCELLED;
            case AttemptEnd.Failed ignored -> UpstreamOutcome.OVERLOADED;
            case AttemptEnd.NotStarted ignored -> UpstreamOutcome.CANCELLED;
        };
    }

    private void onCurrentStageEnded(LiveAttempt live, AttemptEnd end, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        boolean current = live.attempt().stage().id().equals(flow.stage().id());
        if (!current) {
            return;
        }
        switch (end) {
            case AttemptEnd.Completed completed -> succeed(flow, completed.output(), now, effects);
            case AttemptEnd.Rejected rejected -> reject(flow, rejected.message(), now, effects);
            case AttemptEnd.Overloaded ignored -> retry(live, "overloaded", false, now, effects);
            case AttemptEnd.Failed failed -> retry(live, failed.message(), failed.byteLeft(), now, effects);
            case AttemptEnd.NotStarted ignored -> enqueueUnlessLive(flow, now, effects);
        }
    }

    private void succeed(RequestFlow flow, Payload output, Instant now, Effects effects) {
        flow.markSent();
        cancelLive(flow, effects);
        if (flow.advance(output)) {
            enqueue(flow, now, effects);
            return;
        }
        if (flow.claimed()) {
            claims.recordOutcome(flow.request().id(), ResultCode.SERVED, RunState.RUN, output, now, effects);
        }
        answerServed(flow, output, effects);
    }

    private void reject(RequestFlow flow, String message, Instant now, Effects effects) {
        cancelLive(flow, effects);
        RunState run = flow.sent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        if (flow.claimed()) {
            claims.recordOutcome(flow.request().id(), ResultCode.UPSTREAM_REJECTED, run, Payload.EMPTY, now, effects);
        }
        answerRefused(flow, new Refusal(ResultCode.UPSTREAM_REJECTED, run, Duration.ZERO, message), effects);
    }

    private void retry(LiveAttempt live, String message, boolean byteLeft, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        flow.recordFailure(live.attempt().upstream().id() + ": " + message);
        flow.tried().add(live.attempt().upstream().id());
        if (byteLeft) {
            flow.markSent();
        }
        if (!flow.live().isEmpty()) {
            return;
        }
        if (!flow.idempotent() && flow.sent()) {
            fail(flow, ResultCode.OUTCOME_UNKNOWN, message, now, effects);
            return;
        }
        int maxAttempts = flow.idempotent() ? policy.maxAttempts(flow.stage()) : MAX_UNSENT_ATTEMPTS;
        if (flow.attemptsInStage() >= maxAttempts) {
            fail(flow, ResultCode.ATTEMPTS_FAILED, flow.lastFailure(), now, effects);
            return;
        }
        if (policy.budgetsRetries() && !retries.tryAcquire()) {
            fail(flow, ResultCode.RETRY_BUDGET_SPENT, flow.lastFailure(), now, effects);
            return;
        }
        enqueue(flow, now, effects);
    }

    private void enqueueUnlessLive(RequestFlow flow, Instant now, Effects effects) {
        if (flow.live().isEmpty() && !flow.waiting()) {
            enqueue(flow, now, effects);
        }
    }

    /**
     * Records the outcome of a non-idempotent request after its caller was told that the outcome is unknown. Guards
     * against a second execution: a caller that retries with the key receives this outcome.
     */
    private void recordLateOutcome(RequestFlow flow, AttemptEnd end, Instant now, Effects effects) {
        RequestId id = flow.request().id();
        switch (end) {
            case AttemptEnd.Completed completed ->
                claims.recordOutcome(id, ResultCode.SERVED, RunState.RUN, completed.output(), now, effects);
            case AttemptEnd.Failed failed
            when failed.byteLeft() ->
                claims.recordOutcome(id, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, Payload.EMPTY, now, effects);
            case AttemptEnd.Rejected ignored ->
                claims.recordOutcome(id, ResultCode.UPSTREAM_REJECTED, RunState.NOT_RUN, Payload.EMPTY, now, effects);
            case AttemptEnd.Failed ignored -> claims.abandon(id, now, effects);
            case AttemptEnd.Overloaded ignored -> claims.abandon(id, now, effects);
            case AttemptEnd.NotStarted ignored -> claims.abandon(id, now, effects);
        }
    }

    /** Fails a request and immediately reports to its caller what is known of its execution. */
    private void fail(RequestFlow flow, ResultCode code, String message, Instant now, Effects effects) {
        boolean mayHaveRun = flow.sent() || flow.awaitingClaim() || !flow.live().isEmpty();
        RunState run = mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
        if (!flow.claimed()) {
            cancelLive(flow, effects);
        } else if (flow.live().isEmpty()) {
            closeClaim(flow, mayHaveRun, now, effects);
        }
        Duration retryAfter = retryAfter(flow.stage().pool(), now);
        ResultCode reported = flow.claimed() && mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code;
        answerRefused(flow, new Refusal(reported, run, retryAfter, message), effects);
    }

    private void closeClaim(RequestFlow flow, boolean mayHaveRun, Instant now, Effects effects) {
        RequestId id = flow.request().id();
        if (mayHaveRun) {
            claims.recordOutcome(id, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, Payload.EMPTY, now, effects);
            return;
        }
        claims.abandon(id, now, effects);
    }

    private void cancelLive(RequestFlow flow, Effects effects) {
        for (LiveAttempt live : flow.live()) {
            cancel(live, effects);
        }
    }

    private static void cancel(LiveAttempt live, Effects effects) {
        if (live.cancelled()) {
            return;
        }
        live.cancel();
        effects.add(new Effect.CancelAttempt(live.attempt().id()));
    }

    private void answerServed(RequestFlow flow, Payload output, Effects effects) {
        removeFlow(flow);
        effects.add(new Effect.AnswerServed(flow.request().id(), flow.template().version(), output));
    }

    private void answerRefused(RequestFlow flow, Refusal refusal, Effects effects) {
        removeFlow(flow);
        effects.add(
                new Effect.AnswerRefused(flow.request().id(), flow.template().version(), refusal));
        effects.add(new Effect.LogDecision(DispatchDecisions.refused(flow.request(), refusal)));
    }

    private void removeFlow(RequestFlow flow) {
        if (flow.waiting()) {
            queue(flow.stage().pool()).remove(flow);
        }
        flows.remove(flow.request().id());
        admission.onAnswered(flow.request().customer());
    }

    private void enqueue(RequestFlow flow, Instant now, Effects effects) {
        PoolId pool = flow.stage().pool();
        queue(pool).add(flow);
        dispatchQueued(pool, now, effects);
    }

    private WaitingQueue queue(PoolId pool) {
        return queues.computeIfAbsent(pool, ignored -> new WaitingQueue());
    }

    /** Starts attempts for the queued requests of a pool while an upstream has capacity. */
    private void dispatchQueued(PoolId pool, Instant now, Effects effects) {
        WaitingQueue queue = queue(pool);
        while (!queue.isEmpty()) {
            if (upstreams.inPool(pool).isEmpty()) {
                refuseAll(queue, pool, now, effects);
                return;
            }
            RequestFlow flow = queue.mostUrgent(now, estimates::remainingNanos);
            if (mayBeInterrupted(flow, now)) {
                failForShutdown(flow, now, effects);
                continue;
            }
            Choice choice = choose(flow, now);
            if (choice.upstream().isEmpty()) {
                return;
            }
            Vm upstream = choice.upstream().get();
            if (!upstreams.tryStart(upstream.id(), now)) {
                return;
            }
            queue.remove(flow);
            start(flow, upstream, choice, "route", now, effects);
        }
    }

    /**
     * Whether the process may exit before an attempt that starts now has led to a response. A non-idempotent request
     * that has not been sent needs all the time until its deadline: if it were interrupted, the outcome of its key
     * would stay unknown, while after a refusal another node can claim the key. All other requests need the usual time
     * of their remaining stages, since refusing them is a certain loss.
     */
    private boolean mayBeInterrupted(RequestFlow flow, Instant now) {
        if (!drain.started()) {
            return false;
        }
        boolean unsentClaim = !flow.idempotent() && !flow.sent();
        Duration needed = unsentClaim ? flow.remainingTime(now) : Duration.ofNanos(estimates.remainingNanos(flow));
        return !drain.hasTimeFor(needed, now);
    }

    private void failForShutdown(RequestFlow flow, Instant now, Effects effects) {
        String message =
                "the node is shutting down before stage " + flow.stage().id() + " can complete; retry on another node";
        fail(flow, ResultCode.SHUTTING_DOWN, message, now, effects);
    }

    private Choice choose(RequestFlow flow, Instant now) {
        Choice untried = policy.choose(flow.stage(), flow.request().prefix(), flow.tried(), now);
        boolean allTried =
                flow.tried().size() >= upstreams.inPool(flow.stage().pool()).size();
        if (untried.upstream().isPresent() || flow.tried().isEmpty() || !allTried) {
            return untried;
        }
        return policy.choose(flow.stage(), flow.request().prefix(), Set.of(), now);
    }

    private void refuseAll(WaitingQueue queue, PoolId pool, Instant now, Effects effects) {
        for (RequestFlow flow : queue.all()) {
            fail(flow, ResultCode.NO_UPSTREAM, "no upstream of pool \"" + pool + "\" is in service", now, effects);
        }
    }

    private void start(RequestFlow flow, Vm upstream, Choice choice, String kind, Instant now, Effects effects) {
        Stage stage = flow.stage();
        Instant stageEnd = now.plus(flow.idempotent() ? min(stage.timeout(), MAX_ATTEMPT_DURATION) : stage.timeout());
        boolean untilDeadline = flow.idempotent() && flow.deadline().isBefore(stageEnd);
        Instant sendDeadline = earlier(upstreams.sendDeadline(upstream.id(), now), flow.deadline());
        Attempt attempt = new Attempt(
                flow.nextAttempt(),
                stage,
                upstream,
                flow.input(),
                sendDeadline,
                untilDeadline ? flow.deadline() : stageEnd,
                EnginePriority.of(flow.worth()),
                flow.idempotent() ? Optional.empty() : flow.request().key(),
                needsNewConnection(flow));
        LiveAttempt live = new LiveAttempt(attempt, flow, now);
        flow.live().add(live);
        attempts.put(attempt.id(), live);
        effects.add(new Effect.StartAttempt(attempt));
        effects.add(new Effect.LogDecision(DispatchDecisions.started(kind, attempt, choice)));
    }

    /**
     * Guards against many connections going dead at once, for example when a network device on the path has lost its
     * state: the previous attempt stalled, and so would each retry on a pooled connection of the same age, to any
     * upstream, until no attempt is left. A new connection still works. Non-idempotent requests always use a new one.
     */
    private static boolean needsNewConnection(RequestFlow flow) {
        return !flow.idempotent() || flow.attemptsInStage() > 1;
    }

    /**
     * Handles everything that depends on time: shutdown, deadlines, stalled attempts, hedging and upstreams with free
     * capacity.
     */
    public void onTick(Instant now, Effects effects) {
        for (RequestFlow flow : List.copyOf(flows.values())) {
            checkDeadline(flow, now, effects);
        }
        for (LiveAttempt live : List.copyOf(attempts.values())) {
            checkAttempt(live, now, effects);
        }
        onCapacityAvailable(now, effects);
        reportDemands(now);
    }

    /** Starts queued requests after this node was granted more capacity. */
    public void onCapacityAvailable(Instant now, Effects effects) {
        for (PoolId pool : List.copyOf(queues.keySet())) {
            dispatchQueued(pool, now, effects);
        }
    }

    private void reportDemands(Instant now) {
        queues.forEach((pool, queue) -> demands.add(pool, queue.size()));
        for (LiveAttempt live : attempts.values()) {
            demands.add(live.attempt().stage().pool(), 1);
        }
        demands.takePeaks(now).forEach(upstreams::setDemand);
    }

    /**
     * Fails requests that are past their deadline, and all requests when the grace period ends. A request that waits
     * for the claim of its key is left to the claim handling: only there it is known whether another node is executing
     * the key, and reporting "not run" would make the caller run it again under a new key.
     */
    private void checkDeadline(RequestFlow flow, Instant now, Effects effects) {
        if (flow.awaitingClaim()) {
            return;
        }
        if (drain.outOfTime(now)) {
            failForShutdown(flow, now, effects);
            return;
        }
        if (!flow.deadline().isAfter(now)) {
            fail(
                    flow,
                    ResultCode.DEADLINE_EXCEEDED,
                    "the deadline passed in stage " + flow.stage().id(),
                    now,
                    effects);
            return;
        }
        if (flow.waiting() && mayBeInterrupted(flow, now)) {
            failForShutdown(flow, now, effects);
            return;
        }
        if (policy.refusesEarly() && flow.waiting() && estimates.willMissDeadline(flow, Duration.ZERO, now)) {
            fail(
                    flow,
                    ResultCode.DEADLINE_CANNOT_BE_MET,
                    "waited too long for an upstream of pool \"" + flow.stage().pool() + "\"",
                    now,
                    effects);
        }
    }

    private void checkAttempt(LiveAttempt live, Instant now, Effects effects) {
        if (live.cancelled()) {
            return;
        }
        boolean timedOut = !live.attempt().deadline().isAfter(now);
        // A non-idempotent request cannot be retried, so cancelling it early gains nothing: a booking that takes longer
        // than usual would be reported as unknown although its confirmation is about to arrive.
        boolean stalled = policy.hedges()
                && live.flow().idempotent()
                && upstreams.stalled(live.attempt().upstream().id(), live.startedAt(), live.lastProgress(), now);
        if (timedOut || stalled) {
            live.markStalled();
            cancel(live, effects);
            return;
        }
        hedge(live, now, effects);
    }

    /** Starts a hedged attempt if an attempt takes longer than nearly all others of its pool. */
    private void hedge(LiveAttempt live, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        Stage stage = live.attempt().stage();
        boolean allowed = policy.hedges() && stage.hedge() && flow.idempotent() && !live.progressed();
        if (!allowed
                || flow.live().size() != 1
                || !flows.containsKey(flow.request().id())) {
            return;
        }
        if (flow.attemptsInStage() >= policy.maxAttempts(stage) || mayBeInterrupted(flow, now)) {
            return;
        }
        boolean streams = stage.work() == StageWork.GENERATE;
        var threshold = streams
                ? upstreams.firstProgressQuantile(stage.pool(), HEDGE_QUANTILE)
                : upstreams.quantile(stage.pool(), HEDGE_QUANTILE);
        if (threshold.isEmpty() || Duration.between(live.startedAt(), now).compareTo(threshold.get()) <= 0) {
            return;
        }
        Set<VmId> excluded = new HashSet<>(flow.tried());
        excluded.add(live.attempt().upstream().id());
        Choice choice = policy.choose(stage, flow.request().prefix(), excluded, now);
        if (choice.upstream().isEmpty() || !hedges.tryAcquire()) {
            return;
        }
        Vm second = choice.upstream().get();
        if (upstreams.tryStart(second.id(), now)) {
            start(flow, second, choice, "hedge", now, effects);
        }
    }

    private Duration retryAfter(PoolId pool, Instant now) {
        Duration delay = estimates.queueDelay(pool, queue(pool).size(), now);
        return delay.compareTo(RequestAdmission.MIN_RETRY_AFTER) > 0 ? delay : RequestAdmission.MIN_RETRY_AFTER;
    }

    private static long millisLeft(RequestFlow flow, Instant now) {
        return flow.remainingTime(now).toMillis();
    }

    private static Duration min(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }

    private static Instant earlier(Instant left, Instant right) {
        return left.isBefore(right) ? left : right;
    }

    /** The requests in flight, for the administration interface. */
    public List<FlowView> views(Instant now) {
        List<FlowView> views = new ArrayList<>();
        for (RequestFlow flow : flows.values()) {
            views.add(FlowView.of(flow, now));
        }
        return views;
    }
}
