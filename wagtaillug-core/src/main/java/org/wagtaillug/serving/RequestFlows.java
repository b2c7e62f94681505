package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.admission.WarmupRateLimiter;
import org.wagtaillug.batch.BatchOrder;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.batch.BatchScheduler;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.directory.VersionRule;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.retry.RetryBudget;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;
import org.wagtaillug.routing.UpstreamChooser;
import org.wagtaillug.routing.UpstreamLimits;
import org.wagtaillug.serving.ServingEffect.Outcome;

/** The requests that are under way on this node: what each needs next, and its one final answer. */
final class RequestFlows {
    private static final String SHUTTING_DOWN_MESSAGE = "node is shutting down, retry on another node";

    /** Stands in the metrics for requests that match no route. */
    static final String NO_ROUTE = "none";

    /** An upstream may be cold for two of the periods at which it writes its entry. */
    private static final Duration UNKNOWN_AFTER_FAULT = Duration.ofMillis(2500);

    static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

    /** A request that no upstream may get now waits for the latency target divided by this, then it is refused. */
    private static final int ADMISSION_WAIT_DIVISOR = 8;

    /** Sends of one request that did not run, whatever its route allows. */
    private static final int MAX_SENDS = 3;

    private static final int MAX_REBUILDS = 1;

    /** Status of an engine that does not find a result that the request names. */
    private static final int INPUTS_GONE = 409;

    /** A customer's rank goes before a route's. */
    private static final int RANKS_OF_ROUTES = 100;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Roster roster;
    private final WarmupRateLimiter warmupLimiter;
    private final UpstreamChooser chooser;
    private final FlowSteps steps;
    private final ServingSetup.Repeats repeats;
    private final RolloutExchange rollouts;
    private final Shutdown shutdown;
    private final NeededTimes neededTimes = new NeededTimes();
    private final EngineTimes engineTimes = new EngineTimes();
    private final InputRelease inputs;
    private final PathEstimate pathEstimate;
    private final PolicyFeatures features;
    private final Consumer<ServingEffect> effects;
    private final FlowLog log;
    private final Map<RequestId, Flow> flows = new LinkedHashMap<>();
    private final Map<PoolId, RetryBudget> budgets = new HashMap<>();
    private final Map<RequestId, Instant> waiting = new LinkedHashMap<>();
    private ServingConfiguration configuration;
    private int lastAttempt;

    RequestFlows(
            ServingSetup setup,
            UpstreamDirectory directory,
            UpstreamHealth health,
            Roster roster,
            StepOrders orders,
            RolloutExchange rollouts,
            Shutdown shutdown,
            Consumer<ServingEffect> effects) {
        this.directory = directory;
        this.health = health;
        this.roster = roster;
        this.warmupLimiter = new WarmupRateLimiter();
        this.features = setup.features();
        this.chooser = new UpstreamChooser(
                directory,
                health,
                new UpstreamLimits(roster, warmupLimiter, setup.coldBound()),
                setup.domain(),
                features);
        StepTimes times = new StepTimes(engineTimes, features);
        this.pathEstimate = new PathEstimate(times);
        this.steps = new FlowSteps(directory, orders, times, this::likelyDomain, features);
        this.repeats = setup.repeats();
        this.rollouts = rollouts;
        this.shutdown = shutdown;
        this.effects = effects;
        this.log = new FlowLog(effects);
        this.inputs = new InputRelease(steps, engineTimes, features, log);
    }

    /** Requests that arrive from now on are handled by a new version. */
    void configure(ServingConfiguration newest) {
        configuration = newest;
        steps.configure(newest);
    }

    boolean idle() {
        return flows.isEmpty();
    }

    int size() {
        return flows.size();
    }

    /** Whether there is a request of which no answer has begun. */
    boolean undecided() {
        for (Flow flow : flows.values()) {
            if (!flow.answering()) {
                return true;
            }
        }
        return false;
    }

    /** An upstream has started anew under its name. */
    void onRestarted(VmId upstream) {
        chooser.onRestarted(upstream);
    }

    void onRequest(RoutedRequest request, Instant now) {
        if (flows.containsKey(request.id())) {
            refuseUnknown(request, ResultCode.REQUEST_IN_FLIGHT, "a request with this id is under way");
            return;
        }
        switch (RouteMatch.of(request, configuration)) {
            case RouteMatch.Denied denied -> refuseUnknown(request, denied.code(), denied.message());
            case RouteMatch.Allowed allowed -> begin(request, allowed.route(), allowed.customer(), now);
        }
    }

    private void refuseUnknown(RoutedRequest request, ResultCode code, String message) {
        log.denied(request, code, configuration.version());
        effects.accept(new ServingEffect.Refuse(request.id(), Refusal.notRun(code, Duration.ZERO, message)));
        if (code != ResultCode.REQUEST_IN_FLIGHT) {
            effects.accept(new ServingEffect.Finished(request.id(), NO_ROUTE, Outcome.REFUSED, Duration.ZERO));
        }
    }

    /** Refuses a request that comes when what is left of the node's time does not cover it. */
    private void refuseLate(Flow flow, Duration needed, Instant now) {
        RequestId id = flow.request().id();
        log.tooLate(flow, needed, shutdown.since(now));
        Refusal refusal = Refusal.notRun(ResultCode.SHUTTING_DOWN, Duration.ZERO, SHUTTING_DOWN_MESSAGE);
        effects.accept(new ServingEffect.Refuse(id, refusal));
        effects.accept(new ServingEffect.Finished(id, flow.route().id().value(), Outcome.REFUSED, Duration.ZERO));
    }

    private void begin(RoutedRequest request, Route route, Optional<Customer> customer, Instant now) {
        int customerRank = customer.map(each -> each.rank().orElse(0)).orElse(0);
        int rank = customerRank * RANKS_OF_ROUTES + route.rank();
        Flow flow = new Flow(request, route, customer.map(Customer::id), rank, now);
        Duration needed = neededTimes.fromArrival(flow, now);
        if (!shutdown.enoughFor(needed, now)) {
            refuseLate(flow, needed, now);
            return;
        }
        flows.put(request.id(), flow);
        budget(flow.pool()).onRequest(now);
        log.accept(flow, configuration.version(), shutdown, now);
        if (!rejectedByPath(flow, now)) {
            advance(flow, now);
        }
    }

    /** Rejects a request that its path would make later than a pool lets a piece wait past its latency target. */
    private boolean rejectedByPath(Flow flow, Instant now) {
        if (!features.uses(PolicyFeature.WHOLE_WAY_REFUSAL)) {
            return false;
        }
        PathEstimate.Path estimate =
                pathEstimate.of(flow, configuration, (pool, rank) -> steps.waitOf(pool, rank, now), now);
        Duration over = estimate.whole().minus(flow.route().aim()).minus(BatchScheduler.LATE_GRACE);
        // A request that comes back after its aim must not be refused for having missed it while its pools are free.
        if (estimate.waits().isZero() || !over.isPositive()) {
            return false;
        }
        String message = "its steps would take " + estimate.whole().toMillis() + " ms";
        Duration retryAfter = over.compareTo(DEFAULT_RETRY_AFTER) < 0 ? DEFAULT_RETRY_AFTER : over;
        refuse(flow, ResultCode.STEP_OVERLOADED, retryAfter, message, now);
        return true;
    }

    private RetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool, id -> new RetryBudget(repeats.window(), repeats.ratio(), repeats.fixed(), roster::sharers));
    }

    /** Orders the steps that can be ordered, or sends the request when all are made. */
    private void advance(Flow flow, Instant now) {
        if (flow.stepsMade()) {
            send(flow, now);
            return;
        }
        for (Step step : steps.due(flow, now)) {
            if (flows.get(flow.request().id()) != flow) {
                return;
            }
            if (!steps.order(flow, step, now)) {
                String message = "the pool \"" + step.pool() + "\" of step " + step.number() + " takes no pieces";
                refuse(flow, ResultCode.STEP_FAILED, DEFAULT_RETRY_AFTER, message, now);
                return;
            }
        }
    }

    void onStepAnswer(StepOrders.Answer answer, Instant now) {
        BatchOrder order = answer.order();
        Flow flow = flows.get(order.request());
        if (flow == null || !steps.expects(order)) {
            steps.releaseUnwanted(answer);
            return;
        }
        log.step(flow, answer);
        switch (answer.outcome()) {
            case BatchOutcome.Made made -> {
                steps.made(flow, answer, made.results());
                advance(flow, now);
            }
            case BatchOutcome.NotMade notMade -> onNotMade(flow, order, notMade, now);
        }
    }

    private void onNotMade(Flow flow, BatchOrder order, BatchOutcome.NotMade notMade, Instant now) {
        if (notMade.reason() == BatchOutcome.Reason.INPUTS_GONE) {
            rebuild(flow, notMade.retryAfter(), now);
            return;
        }
        String message = "step " + order.step() + " was not done: " + notMade.reason();
        ResultCode code =
                switch (notMade.reason()) {
                    case OVERLOADED -> ResultCode.STEP_OVERLOADED;
                    case LATE -> ResultCode.DEADLINE_CANNOT_BE_MET;
                    case FAILED, INPUTS_GONE -> ResultCode.STEP_FAILED;
                    case NO_UPSTREAM -> ResultCode.NO_UPSTREAM;
                };
        refuse(flow, code, notMade.retryAfter(), message, now);
    }

    /** A result was lost at its maker: all steps are done again, once. Without its inputs a request goes nowhere. */
    private void rebuild(Flow flow, Duration retryAfter, Instant now) {
        steps.end(flow, now);
        if (flow.rebuild() > MAX_REBUILDS) {
            refuse(flow, ResultCode.STEP_FAILED, retryAfter, "the results of its steps were lost again", now);
            return;
        }
        if (!shutdown.enoughFor(neededTimes.fromArrival(flow, now), now)) {
            refuse(flow, ResultCode.SHUTTING_DOWN, Duration.ZERO, SHUTTING_DOWN_MESSAGE, now);
            return;
        }
        log.rebuild(flow);
        advance(flow, now);
    }

    private void send(Flow flow, Instant now) {
        if (flow.inputsReleased()) {
            // It was sent before, and its engine had had time to fetch them; another one would not find them.
            rebuild(flow, DEFAULT_RETRY_AFTER, now);
            return;
        }
        if (!shutdown.enoughFor(neededTimes.fromSending(flow, now), now)) {
            giveUp(flow, ResultCode.SHUTTING_DOWN, SHUTTING_DOWN_MESSAGE, now);
            return;
        }
        Optional<PoolProfile> pool = configuration.pool(flow.pool());
        if (pool.isEmpty() || directory.usable(flow.pool()).isEmpty()) {
            giveUp(flow, ResultCode.NO_UPSTREAM, "the pool \"" + flow.pool() + "\" has no upstream", now);
            return;
        }
        Set<VmId> tried = flow.tried();
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(
                flow.request().promptParts(),
                flow.request().promptTokens(),
                steps.domainOf(flow.inputResults()),
                flow.inputBytes());
        Optional<Upstream> chosen = chooser.choose(pool.get(), versions(flow), tried, prompt, now)
                .or(() -> chooser.choose(pool.get(), rollouts.stableVersions(flow.pool()), tried, prompt, now));
        if (chosen.isEmpty()) {
            waitForUpstream(flow, now);
            return;
        }
        waiting.remove(flow.request().id());
        send(flow, chosen.get(), prompt, now);
    }

    private VersionRule versions(Flow flow) {
        return rollouts.rule(flow.pool(), flow.request().id(), flow.sends() == 0);
    }

    private Optional<DomainId> likelyDomain(Flow flow, Instant now) {
        UpstreamChooser.Prompt prompt = new UpstreamChooser.Prompt(
                flow.request().promptParts(), flow.request().promptTokens(), Optional.empty(), 0);
        return configuration
                .pool(flow.pool())
                .flatMap(pool -> chooser.choose(pool, versions(flow), flow.tried(), prompt, now))
                .map(Upstream::domain);
    }

    private void waitForUpstream(Flow flow, Instant now) {
        Duration patience = flow.route().aim().dividedBy(ADMISSION_WAIT_DIVISOR);
        Instant until = waiting.computeIfAbsent(flow.request().id(), id -> now.plus(patience));
        if (!now.isBefore(until)) {
            giveUp(flow, ResultCode.UPSTREAM_FULL, "no upstream of \"" + flow.pool() + "\" may get more", now);
        }
    }

    private void send(Flow flow, Upstream upstream, UpstreamChooser.Prompt prompt, Instant now) {
        lastAttempt++;
        flow.send(upstream, lastAttempt, now);
        health.onStarted(upstream.id(), now);
        warmupLimiter.onSent(upstream.id(), now);
        long keptTokens = chooser.kept(upstream, prompt, now);
        chooser.onSent(upstream.id(), prompt, now);
        boolean stream = flow.route().kind() == RouteKind.STREAM;
        effects.accept(new ServingEffect.Send(new SendOrder(
                flow.request().id(),
                flow.attempt(),
                upstream.listing(),
                flow.deadline(),
                flow.customer(),
                flow.inputs(),
                flow.lastEvent(),
                stream,
                mayGoElsewhere(flow),
                stream || flow.route().kind() == RouteKind.ONCE)));
        log.send(flow, upstream, health.inFlight(upstream.id()), keptTokens, now);
    }

    /** Whether there is another upstream that may have the request if the one that it was sent to falls silent. */
    private boolean mayGoElsewhere(Flow flow) {
        boolean attemptsLeft = flow.ran() + 1 < flow.route().attempts();
        boolean untried = directory.usable(flow.pool()).size() > flow.tried().size();
        return flow.route().repeatable() && attemptsLeft && untried;
    }

    void onAnswerBegan(RequestId id, int attempt, Instant now) {
        Flow flow = flows.get(id);
        if (flow == null || flow.attempt() != attempt || flow.target().isEmpty()) {
            return;
        }
        if (!flow.answering()) {
            flow.began(now);
            flow.ranSomewhere();
            sample(flow, false, now);
        }
        stopReading(flow);
        log.answerBegan(flow, flow.target().get(), now);
        health.onProgress(flow.target().get().id(), now);
        engineTimes.onFirstEvent(flow.pool(), flow.request().promptTokens(), Duration.between(flow.sentAt(), now), now);
        inputs.onAnswerBegan(flow, now);
    }

    /** The engine has read the prompt, or will not. */
    private void stopReading(Flow flow) {
        if (flow.stopReading()) {
            flow.target()
                    .ifPresent(upstream ->
                            chooser.onRead(upstream.id(), flow.request().promptTokens()));
        }
    }

    void onSendEnded(RequestId id, int attempt, SendEnd end, Instant now) {
        Flow flow = flows.get(id);
        if (flow == null || flow.attempt() != attempt || flow.target().isEmpty()) {
            return;
        }
        Upstream upstream = flow.target().get();
        stopReading(flow);
        if (end instanceof SendEnd.Failed || end instanceof SendEnd.Broken) {
            sample(flow, true, now);
        }
        flow.unsend();
        note(flow, upstream, end, now);
        switch (end) {
            case SendEnd.Passed ignored -> onPassed(flow, now);
            case SendEnd.GivenUp ignored -> finish(flow, Outcome.LEFT, "given up", now);
            case SendEnd.Unsent ignored -> sendElsewhere(flow, now);
            case SendEnd.NotRun notRun -> onNotRun(flow, notRun.status(), now);
            case SendEnd.Failed ignored -> onFailed(flow, now);
            case SendEnd.Broken broken -> onBroken(flow, broken, now);
        }
    }

    private void onPassed(Flow flow, Instant now) {
        neededTimes.onAnswered(flow, now);
        finish(flow, Outcome.PASSED, "passed", now);
    }

    /** What a request saw tells a version that is rolled out from the one before. */
    private void sample(Flow flow, boolean failed, Instant now) {
        flow.target()
                .ifPresent(upstream -> rollouts.sample(
                        upstream.listing(), flow.route().id().value(), failed, Duration.between(flow.sentAt(), now)));
    }

    private void note(Flow flow, Upstream upstream, SendEnd end, Instant now) {
        Duration took = Duration.between(flow.sentAt(), now);
        Optional<PoolId> pool = Optional.of(flow.pool());
        switch (end) {
            case SendEnd.Passed ignored -> health.onEnded(upstream.id(), pool, took, true, now);
            case SendEnd.Failed ignored -> health.onEnded(upstream.id(), pool, took, true, now);
            case SendEnd.GivenUp ignored -> health.onCancelled(upstream.id());
            case SendEnd.NotRun ignored -> health.onCancelled(upstream.id());
            case SendEnd.Unsent ignored -> fault(upstream, took, now);
            case SendEnd.Broken ignored -> fault(upstream, took, now);
        }
        log.end(flow, upstream, end, took);
    }

    /** The upstream may have started anew, and be cold until it says otherwise. */
    private void fault(Upstream upstream, Duration took, Instant now) {
        health.onEnded(upstream.id(), Optional.empty(), took, false, now);
        directory.onFault(upstream.id(), now.plus(UNKNOWN_AFTER_FAULT));
    }

    private void onNotRun(Flow flow, int status, Instant now) {
        if (status == INPUTS_GONE && !flow.steps().isEmpty()) {
            inputs.onInputGone(flow);
            rebuild(flow, DEFAULT_RETRY_AFTER, now);
            return;
        }
        sendElsewhere(flow, now);
    }

    /** Nothing has run: another upstream may get the request. */
    private void sendElsewhere(Flow flow, Instant now) {
        boolean again = flow.sends() < MAX_SENDS && budget(flow.pool()).spend(now);
        if (again) {
            send(flow, now);
            return;
        }
        giveUp(flow, ResultCode.UPSTREAM_FULL, "no upstream of \"" + flow.pool() + "\" took the request", now);
    }

    private void onFailed(Flow flow, Instant now) {
        if (flow.answering()) {
            giveUp(flow, ResultCode.ATTEMPTS_FAILED, "the upstream that was to go on failed", now);
            return;
        }
        flow.ranSomewhere();
        if (!mayRepeat(flow, now)) {
            effects.accept(new ServingEffect.PassFailure(flow.request().id()));
            finish(flow, Outcome.FAILED, "failure passed on", now);
            return;
        }
        send(flow, now);
    }

    private void onBroken(Flow flow, SendEnd.Broken broken, Instant now) {
        flow.lastEvent(broken.lastEvent());
        if (!flow.answering()) {
            flow.ranSomewhere();
        }
        if (!mayRepeat(flow, now)) {
            giveUp(flow, ResultCode.OUTCOME_UNKNOWN, "the upstream broke off: " + broken.reason(), now);
            return;
        }
        send(flow, now);
    }

    /** Whether a request may go to another upstream after one that may have run it; takes a repeat from the budget. */
    private boolean mayRepeat(Flow flow, Instant now) {
        boolean allowed = flow.route().repeatable()
                && flow.ran() < flow.route().attempts()
                && now.isBefore(flow.deadline())
                && shutdown.enoughFor(neededTimes.fromSending(flow, now), now);
        return allowed && budget(flow.pool()).spend(now);
    }

    /** Ends a request that cannot be served, as truly as its state allows. */
    private void giveUp(Flow flow, ResultCode code, String message, Instant now) {
        if (flow.answering()) {
            effects.accept(new ServingEffect.Cut(flow.request().id()));
            finish(flow, Outcome.LOST, "cut: " + message, now);
            return;
        }
        if (flow.mayHaveRun()) {
            ResultCode unknown =
                    code.status() == ResultCode.DEADLINE_EXCEEDED.status() ? code : ResultCode.OUTCOME_UNKNOWN;
            Refusal refusal = Refusal.unknown(unknown, Duration.ZERO, message);
            effects.accept(new ServingEffect.Refuse(flow.request().id(), refusal));
            finish(flow, Outcome.LOST, "refused " + unknown, now);
            return;
        }
        Duration retryAfter = code == ResultCode.SHUTTING_DOWN ? Duration.ZERO : DEFAULT_RETRY_AFTER;
        refuse(flow, code, retryAfter, message, now);
    }

    /** Says that a request has not run; only for one that was sent nowhere, or only to upstreams that did not run it. */
    private void refuse(Flow flow, ResultCode code, Duration retryAfter, String message, Instant now) {
        if (flow.answering() || flow.mayHaveRun()) {
            giveUp(flow, code, message, now);
            return;
        }
        effects.accept(new ServingEffect.Refuse(flow.request().id(), Refusal.notRun(code, retryAfter, message)));
        finish(flow, Outcome.REFUSED, "refused " + code + ": " + message, now);
    }

    private void finish(Flow flow, Outcome outcome, String how, Instant now) {
        RequestId id = flow.request().id();
        steps.end(flow, now);
        flows.remove(id);
        waiting.remove(id);
        Duration took = Duration.between(flow.arrivedAt(), now);
        effects.accept(new ServingEffect.Finished(id, flow.route().id().value(), outcome, took));
        log.finish(flow, outcome, how, now);
    }

    void onCallerLeft(RequestId id, Instant now) {
        Flow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        endSend(flow, now);
        finish(flow, Outcome.LEFT, "the caller left", now);
    }

    private void endSend(Flow flow, Instant now) {
        if (flow.target().isPresent()) {
            effects.accept(new ServingEffect.GiveUpSend(flow.request().id(), flow.attempt()));
            stopReading(flow);
            if (!flow.answering() && now.isAfter(flow.sentAt().plus(flow.route().aim()))) {
                // An upstream that lets callers wait until they leave has failed them.
                sample(flow, true, now);
            }
            health.onCancelled(flow.target().get().id());
            flow.unsend();
        }
    }

    /**
     * Refuses what was sent nowhere and could not be answered any more before the process ends: another node may still
     * serve it.
     */
    void refuseOverdue(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            boolean unsent = flow.target().isEmpty() && !flow.answering();
            if (unsent && !shutdown.enoughFor(neededTimes.fromSending(flow, now), now)) {
                refuse(flow, ResultCode.SHUTTING_DOWN, Duration.ZERO, SHUTTING_DOWN_MESSAGE, now);
            }
        }
    }

    /**
     * Gives everything its last answer. What is left open would end as a closed connection, of which a caller cannot tell
     * whether its request has run.
     */
    void endAll(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            abandonSend(flow, now);
            giveUp(flow, ResultCode.SHUTTING_DOWN, "node ends before the answer has come", now);
        }
    }

    void onTick(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            if (flow.expired(now)) {
                onDeadline(flow, now);
                continue;
            }
            if (!flow.stepsMade()) {
                advance(flow, now);
            }
            inputs.onTick(flow, now);
        }
        for (RequestId id : List.copyOf(waiting.keySet())) {
            Flow flow = flows.get(id);
            if (flow != null && flow.target().isEmpty()) {
                send(flow, now);
            }
        }
    }

    /** Ends the attempt that is under way, which may have run; whether there was one. */
    private boolean abandonSend(Flow flow, Instant now) {
        boolean sent = flow.target().isPresent();
        if (sent && !flow.mayHaveRun()) {
            flow.ranSomewhere();
        }
        endSend(flow, now);
        return sent;
    }

    private void onDeadline(Flow flow, Instant now) {
        if (flow.answering()) {
            // A stream that has gone on for so long says what another may take. An upstream that hangs says nothing.
            neededTimes.onAnswered(flow, now);
        }
        boolean sent = abandonSend(flow, now);
        if (sent || flow.mayHaveRun()) {
            giveUp(flow, ResultCode.DEADLINE_EXCEEDED, "the deadline has passed", now);
            return;
        }
        refuse(
                flow,
                ResultCode.DEADLINE_CANNOT_BE_MET,
                Duration.ZERO,
                "the deadline has passed before it could run",
                now);
    }
}
