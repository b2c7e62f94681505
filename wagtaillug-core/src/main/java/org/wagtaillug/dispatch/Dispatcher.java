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
 * Takes each request through its stages to its one answer.
 *
 * <p>A request is refused as soon as it is clear that it cannot be served; nothing is held back. What runs once only is
 * sent to one upstream, after the claim of its key was won, and never again after a byte may have left.
 */
public final class Dispatcher {
    /**
     * Owners that hear nothing of a holder count on it that no attempt outlives this; see {@link
     * GrantOwner#MAX_ATTEMPT_DURATION}. What must happen once is not cut short for it: its caller would be told "unknown" of a
     * call that is about to end well.
     */
    private static final Duration LONGEST_ATTEMPT = GrantOwner.MAX_ATTEMPT_DURATION;

    private static final double HEDGE_QUANTILE = 0.95;
    private static final int UNSENT_ATTEMPTS = 3;

    private final Configuration configuration;
    private final Upstreams upstreams;
    private final RoutingPolicy policy;
    private final OnceOnly onceOnly;
    private final Drain drain;
    private final Admission admission;
    private final Estimates estimates;
    private final Intake intake;
    private final AttemptBudget retries;
    private final AttemptBudget hedges;

    private final Map<RequestId, RequestFlow> flows = new LinkedHashMap<>();
    private final Map<AttemptId, LiveAttempt> attempts = new LinkedHashMap<>();
    private final Map<PoolId, WaitingQueue> queues = new LinkedHashMap<>();
    private final PoolDemands demands = new PoolDemands();
    private long foreignAnswers;

    /**
     * Starts with nothing in flight.
     *
     * @param limits what this node lets itself do
     * @param configuration what is in force
     * @param upstreams what is known of upstreams
     * @param policy how upstreams are chosen
     * @param onceOnly claims keys of requests that must run once
     * @param drain tells what is left when the node was asked to end
     */
    public Dispatcher(
            DispatchLimits limits,
            Configuration configuration,
            Upstreams upstreams,
            RoutingPolicy policy,
            OnceOnly onceOnly,
            Drain drain) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.policy = policy;
        this.onceOnly = onceOnly;
        this.drain = drain;
        this.admission = new Admission(limits.requestsInFlight());
        this.estimates = new Estimates(upstreams);
        this.intake = new Intake(configuration, upstreams, policy, admission, estimates, drain);
        this.retries = new AttemptBudget(limits.retryShare());
        this.hedges = new AttemptBudget(limits.hedgeShare());
    }

    /** Whether a request of this id is in flight; another of the same id must not be handed in then. */
    public boolean inFlight(RequestId request) {
        return flows.containsKey(request);
    }

    /** How many requests have no answer yet. */
    public int requestsInFlight() {
        return flows.size();
    }

    /** Whether nothing is in flight, also no attempt that outlived its request. */
    public boolean idle() {
        return flows.isEmpty() && attempts.isEmpty();
    }

    /** How many answers came for no attempt in flight. */
    public long foreignAnswers() {
        return foreignAnswers;
    }

    /** Takes in a request, or refuses it. */
    public void onRequest(Request request, Instant now, Effects effects) {
        if (flows.containsKey(request.id())) {
            return;
        }
        Either<Intake.Refused, RequestFlow> admitted =
                intake.admit(request, pool -> queue(pool).size(), now);
        if (admitted.isLeft()) {
            Intake.Refused refused = admitted.getLeft();
            effects.add(new Effect.AnswerRefused(request.id(), refused.templateVersion(), refused.refusal()));
            effects.add(new Effect.LogDecision(DispatchDecisions.refused(request, refused.refusal())));
            return;
        }
        RequestFlow flow = admitted.get();
        flows.put(request.id(), flow);
        admission.onAdmitted(request.customer(), share(request));
        retries.earn();
        hedges.earn();
        if (flow.idempotent()) {
            enqueue(flow, now, effects);
            return;
        }
        flow.markAwaitingClaim();
        onceOnly.ask(request.id(), request.key().orElseThrow(), request.bodyDigest(), flow.deadline(), now, effects);
    }

    private double share(Request request) {
        return configuration
                .customer(request.customer())
                .map(CustomerContract::share)
                .orElse(1.0);
    }

    /** This node won the claim of the request's key: it alone sends, now. */
    public void onClaimWon(RequestId id, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            onceOnly.abandon(id, now, effects);
            return;
        }
        flow.markClaimed();
        enqueue(flow, now, effects);
    }

    /** The key ran before: its outcome is repeated. */
    public void onClaimRecorded(
            RequestId id, ResultCode code, RunState run, Payload output, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        if (code == ResultCode.SERVED) {
            serve(flow, output, effects);
            return;
        }
        answerRefused(flow, new Refusal(code, run, Duration.ZERO, "the recorded outcome of this key"), effects);
    }

    /** The key cannot be claimed. */
    public void onClaimRefused(RequestId id, Refusal refusal, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow != null) {
            answerRefused(flow, refusal, effects);
        }
    }

    /** The caller takes no answer any more. What must happen once goes on; the rest is given up. */
    public void onCallerLeft(RequestId id, Instant now, Effects effects) {
        RequestFlow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        fail(flow, ResultCode.DEADLINE_EXCEEDED, "the caller left", now, effects);
    }

    /** An attempt made progress. */
    public void onProgress(AttemptId id, Instant now) {
        LiveAttempt live = attempts.get(id);
        if (live == null) {
            foreignAnswers++;
            return;
        }
        if (!live.progressed()) {
            upstreams.progressed(live.attempt().upstream().id(), Duration.between(live.startedAt(), now), now);
        }
        live.progress(now);
    }

    /** An attempt is over. */
    public void onEnded(AttemptId id, AttemptEnd end, Instant now, Effects effects) {
        LiveAttempt live = attempts.remove(id);
        if (live == null) {
            foreignAnswers++;
            return;
        }
        RequestFlow flow = live.flow();
        flow.live().remove(live);
        Duration took = Duration.between(live.startedAt(), now);
        upstreams.finished(live.attempt().upstream().id(), finish(live, end), took, now);
        if (end instanceof AttemptEnd.Completed) {
            estimates.completed(live.attempt().stage().pool(), now);
        }
        if (flows.containsKey(flow.request().id())) {
            goOn(live, end, now, effects);
        } else if (flow.claimed()) {
            settleLate(flow, end, now, effects);
        }
        pump(live.attempt().stage().pool(), now, effects);
    }

    /**
     * What an end says of the upstream. Only an attempt that fell silent may still be running there; a refused, reset or
     * useless one is over, and may mean that the upstream has just started.
     */
    private static UpstreamOutcome finish(LiveAttempt live, AttemptEnd end) {
        if (live.stalled()) {
            return UpstreamOutcome.FAILED;
        }
        return switch (end) {
            case AttemptEnd.Completed ignored -> UpstreamOutcome.SUCCEEDED;
            case AttemptEnd.Overloaded ignored -> UpstreamOutcome.OVERLOADED;
            case AttemptEnd.Rejected ignored -> UpstreamOutcome.CANCELLED;
            case AttemptEnd.Failed ignored -> live.cancelled() ? UpstreamOutcome.CANCELLED : UpstreamOutcome.OVERLOADED;
            case AttemptEnd.NotStarted ignored -> UpstreamOutcome.CANCELLED;
        };
    }

    private void goOn(LiveAttempt live, AttemptEnd end, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        boolean current = live.attempt().stage().id().equals(flow.stage().id());
        if (!current) {
            return;
        }
        switch (end) {
            case AttemptEnd.Completed completed -> succeed(flow, completed.output(), now, effects);
            case AttemptEnd.Rejected rejected -> reject(flow, rejected.message(), now, effects);
            case AttemptEnd.Overloaded ignored -> tryAgain(live, "overloaded", false, now, effects);
            case AttemptEnd.Failed failed -> tryAgain(live, failed.message(), failed.byteLeft(), now, effects);
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
            onceOnly.settled(flow.request().id(), ResultCode.SERVED, RunState.RUN, output, now, effects);
        }
        serve(flow, output, effects);
    }

    private void reject(RequestFlow flow, String message, Instant now, Effects effects) {
        cancelLive(flow, effects);
        RunState run = flow.sent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        if (flow.claimed()) {
            onceOnly.settled(flow.request().id(), ResultCode.UPSTREAM_REJECTED, run, Payload.EMPTY, now, effects);
        }
        answerRefused(flow, new Refusal(ResultCode.UPSTREAM_REJECTED, run, Duration.ZERO, message), effects);
    }

    private void tryAgain(LiveAttempt live, String message, boolean byteLeft, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        flow.noteFailure(live.attempt().upstream().id() + ": " + message);
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
        int most = flow.idempotent() ? policy.maxAttempts(flow.stage()) : UNSENT_ATTEMPTS;
        if (flow.attemptsOfStage() >= most) {
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
     * Records what came of work that must happen once after its caller was told that nobody knows. Guards against a
     * second run: a caller that asks again with the key gets this outcome in place of the unknown.
     */
    private void settleLate(RequestFlow flow, AttemptEnd end, Instant now, Effects effects) {
        RequestId id = flow.request().id();
        switch (end) {
            case AttemptEnd.Completed completed ->
                onceOnly.settled(id, ResultCode.SERVED, RunState.RUN, completed.output(), now, effects);
            case AttemptEnd.Failed failed
            when failed.byteLeft() ->
                onceOnly.settled(id, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, Payload.EMPTY, now, effects);
            case AttemptEnd.Rejected ignored ->
                onceOnly.settled(id, ResultCode.UPSTREAM_REJECTED, RunState.NOT_RUN, Payload.EMPTY, now, effects);
            case AttemptEnd.Failed ignored -> onceOnly.abandon(id, now, effects);
            case AttemptEnd.Overloaded ignored -> onceOnly.abandon(id, now, effects);
            case AttemptEnd.NotStarted ignored -> onceOnly.abandon(id, now, effects);
        }
    }

    /** Gives a request up: its caller is told at once what is known of it. */
    private void fail(RequestFlow flow, ResultCode code, String message, Instant now, Effects effects) {
        boolean mayHaveRun = flow.sent() || flow.awaitingClaim() || !flow.live().isEmpty();
        RunState run = mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
        if (!flow.claimed()) {
            cancelLive(flow, effects);
        } else if (flow.live().isEmpty()) {
            closeClaim(flow, mayHaveRun, now, effects);
        }
        Duration retryAfter = retryAfter(flow.stage().pool(), now);
        ResultCode shown = flow.claimed() && mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code;
        answerRefused(flow, new Refusal(shown, run, retryAfter, message), effects);
    }

    private void closeClaim(RequestFlow flow, boolean mayHaveRun, Instant now, Effects effects) {
        RequestId id = flow.request().id();
        if (mayHaveRun) {
            onceOnly.settled(id, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, Payload.EMPTY, now, effects);
            return;
        }
        onceOnly.abandon(id, now, effects);
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

    private void serve(RequestFlow flow, Payload output, Effects effects) {
        forget(flow);
        effects.add(new Effect.AnswerServed(flow.request().id(), flow.template().version(), output));
    }

    private void answerRefused(RequestFlow flow, Refusal refusal, Effects effects) {
        forget(flow);
        effects.add(
                new Effect.AnswerRefused(flow.request().id(), flow.template().version(), refusal));
        effects.add(new Effect.LogDecision(DispatchDecisions.refused(flow.request(), refusal)));
    }

    private void forget(RequestFlow flow) {
        if (flow.waiting()) {
            queue(flow.stage().pool()).remove(flow);
        }
        flows.remove(flow.request().id());
        admission.onAnswered(flow.request().customer());
    }

    private void enqueue(RequestFlow flow, Instant now, Effects effects) {
        PoolId pool = flow.stage().pool();
        queue(pool).add(flow);
        pump(pool, now, effects);
    }

    private WaitingQueue queue(PoolId pool) {
        return queues.computeIfAbsent(pool, ignored -> new WaitingQueue());
    }

    /** Starts attempts of a pool's waiting requests for as long as there is an upstream that may take one. */
    private void pump(PoolId pool, Instant now, Effects effects) {
        WaitingQueue queue = queue(pool);
        while (!queue.isEmpty()) {
            if (upstreams.inPool(pool).isEmpty()) {
                refuseAll(queue, pool, now, effects);
                return;
            }
            RequestFlow flow = queue.mostUrgent(now, estimates::workLeftNanos);
            if (mayBeCut(flow, now)) {
                failForShutdown(flow, now, effects);
                continue;
            }
            Choice choice = choose(flow, now);
            if (choice.upstream().isEmpty()) {
                return;
            }
            Vm upstream = choice.upstream().get();
            if (!upstreams.start(upstream.id(), now)) {
                return;
            }
            queue.remove(flow);
            start(flow, upstream, choice, "route", now, effects);
        }
    }

    /**
     * Whether the process may end before an attempt that begins now has led to an answer. What must happen once and has not
     * been sent needs all the time until its deadline: cut, its key would stay unknown, while refused it is free for
     * another node. All else needs what its stages usually take, since giving it up is a sure loss.
     */
    private boolean mayBeCut(RequestFlow flow, Instant now) {
        if (!drain.started()) {
            return false;
        }
        boolean unsentOnce = !flow.idempotent() && !flow.sent();
        Duration needed = unsentOnce ? flow.timeLeft(now) : Duration.ofNanos(estimates.workLeftNanos(flow));
        return !drain.enoughFor(needed, now);
    }

    private void failForShutdown(RequestFlow flow, Instant now, Effects effects) {
        String message = "the node shuts down before stage " + flow.stage().id() + " would be over; ask another";
        fail(flow, ResultCode.SHUTTING_DOWN, message, now, effects);
    }

    private Choice choose(RequestFlow flow, Instant now) {
        Choice fresh = policy.choose(flow.stage(), flow.request().prefix(), flow.tried(), now);
        boolean allTried =
                flow.tried().size() >= upstreams.inPool(flow.stage().pool()).size();
        if (fresh.upstream().isPresent() || flow.tried().isEmpty() || !allTried) {
            return fresh;
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
        Instant stageEnd = now.plus(flow.idempotent() ? shorter(stage.timeout(), LONGEST_ATTEMPT) : stage.timeout());
        boolean untilDeadline = flow.idempotent() && flow.deadline().isBefore(stageEnd);
        Instant startBefore = earlier(upstreams.startBefore(upstream.id(), now), flow.deadline());
        Attempt attempt = new Attempt(
                flow.nextAttempt(),
                stage,
                upstream,
                flow.input(),
                startBefore,
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
     * Guards against connections that went silent all at once, as when a device between has lost its state: the attempt
     * before fell silent, and so would each retry on a connection of the same age, at whichever upstream, until no attempt
     * is left. A new connection works then. What must happen once goes over a new one anyway.
     */
    private static boolean needsNewConnection(RequestFlow flow) {
        return !flow.idempotent() || flow.attemptsOfStage() > 1;
    }

    /** Lets time pass: the end of the process, deadlines, silent attempts, hedges, and upstreams that have room again. */
    public void onTick(Instant now, Effects effects) {
        for (RequestFlow flow : List.copyOf(flows.values())) {
            checkDeadline(flow, now, effects);
        }
        for (LiveAttempt live : List.copyOf(attempts.values())) {
            checkAttempt(live, now, effects);
        }
        onRoom(now, effects);
        tellDemands(now);
    }

    /** Starts what waits, after the right to use more upstreams came. */
    public void onRoom(Instant now, Effects effects) {
        for (PoolId pool : List.copyOf(queues.keySet())) {
            pump(pool, now, effects);
        }
    }

    private void tellDemands(Instant now) {
        queues.forEach((pool, queue) -> demands.add(pool, queue.size()));
        for (LiveAttempt live : attempts.values()) {
            demands.add(live.attempt().stage().pool(), 1);
        }
        demands.takePeaks(now).forEach(upstreams::want);
    }

    /**
     * Gives up what is past its deadline, and everything at the last moment before the process ends. A request that waits
     * for the claim of its key is left to the claims: only they know whether another node runs the key, and "not run" would
     * then send the caller off to run it under a new key.
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
        if (flow.waiting() && mayBeCut(flow, now)) {
            failForShutdown(flow, now, effects);
            return;
        }
        if (policy.refusesEarly() && flow.waiting() && estimates.hopeless(flow, Duration.ZERO, now)) {
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
        boolean late = !live.attempt().deadline().isAfter(now);
        // What must happen once cannot be tried again, so that giving it up early gains nothing: a booking that takes
        // longer than usual would be reported as unknown although its confirmation is about to come.
        boolean stalled = policy.hedges()
                && live.flow().idempotent()
                && upstreams.stalled(live.attempt().upstream().id(), live.startedAt(), live.lastProgress(), now);
        if (late || stalled) {
            live.markStalled();
            cancel(live, effects);
            return;
        }
        hedge(live, now, effects);
    }

    /** Starts a rival to an attempt that takes longer than nearly all others of its pool. */
    private void hedge(LiveAttempt live, Instant now, Effects effects) {
        RequestFlow flow = live.flow();
        Stage stage = live.attempt().stage();
        boolean allowed = policy.hedges() && stage.hedge() && flow.idempotent() && !live.progressed();
        if (!allowed
                || flow.live().size() != 1
                || !flows.containsKey(flow.request().id())) {
            return;
        }
        if (flow.attemptsOfStage() >= policy.maxAttempts(stage) || mayBeCut(flow, now)) {
            return;
        }
        boolean streams = stage.work() == StageWork.GENERATE;
        var usual = streams
                ? upstreams.firstProgressQuantile(stage.pool(), HEDGE_QUANTILE)
                : upstreams.quantile(stage.pool(), HEDGE_QUANTILE);
        if (usual.isEmpty() || Duration.between(live.startedAt(), now).compareTo(usual.get()) <= 0) {
            return;
        }
        Set<VmId> excluded = new HashSet<>(flow.tried());
        excluded.add(live.attempt().upstream().id());
        Choice choice = policy.choose(stage, flow.request().prefix(), excluded, now);
        if (choice.upstream().isEmpty() || !hedges.tryAcquire()) {
            return;
        }
        Vm rival = choice.upstream().get();
        if (upstreams.start(rival.id(), now)) {
            start(flow, rival, choice, "hedge", now, effects);
        }
    }

    private Duration retryAfter(PoolId pool, Instant now) {
        Duration wait = estimates.wait(pool, queue(pool).size(), now);
        return wait.compareTo(Intake.SHORTEST_RETRY_AFTER) > 0 ? wait : Intake.SHORTEST_RETRY_AFTER;
    }

    private static long millisLeft(RequestFlow flow, Instant now) {
        return flow.timeLeft(now).toMillis();
    }

    private static Duration shorter(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }

    private static Instant earlier(Instant left, Instant right) {
        return left.isBefore(right) ? left : right;
    }

    /** The requests in flight, for administration. */
    public List<FlowView> views(Instant now) {
        List<FlowView> views = new ArrayList<>();
        for (RequestFlow flow : flows.values()) {
            views.add(FlowView.of(flow, now));
        }
        return views;
    }
}
