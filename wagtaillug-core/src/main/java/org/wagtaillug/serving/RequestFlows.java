package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtaillug.batch.BatchOrder;
import org.wagtaillug.batch.BatchOutcome;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.LoadEstimate;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.peer.Roster;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.quarantine.UpstreamRun;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.route.Customer;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;
import org.wagtaillug.routing.UpstreamChooser;
import org.wagtaillug.serving.ServingEffect.Outcome;

/** The requests in progress on this node: advances each one and gives it exactly one final answer. */
final class RequestFlows {
    static final String SHUTTING_DOWN_MESSAGE = "node is shutting down; retry on another node";

    /** Route label in metrics for requests that match no route. */
    static final String NO_ROUTE = "none";

    static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

    /** Refusals after which the same node would refuse the next try as well. */
    private static final Set<ResultCode> WITHOUT_RETRY_AFTER =
            EnumSet.of(ResultCode.SHUTTING_DOWN, ResultCode.PROMPT_QUARANTINED, ResultCode.REQUEST_QUARANTINED);

    private static final int MAX_STEP_RESTARTS = 1;

    /** Status of an upstream that has no room for the request. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** Status of an upstream that does not find an input of the request. */
    private static final int STATUS_INPUTS_GONE = 409;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Roster roster;
    private final UpstreamChooser chooser;
    private final LoadEstimate load;
    private final EnginePriorities priorities;
    private final FlowSteps steps;
    private final RetryDecisions retries;
    private final RolloutExchange rollouts;
    private final NoticeExchange notices;
    private final StreamExchange streams;
    private final QuarantineExchange quarantine;
    private final AssignmentExchange assignments;
    private final AttemptSelection selection;
    private final AttemptOutcomes outcomes;
    private final Shutdown shutdown;
    private final RemainingTimeEstimate remainingTime = new RemainingTimeEstimate();
    private final EngineTimes engineTimes = new EngineTimes();
    private final InputRelease inputs;
    private final PathEstimate pathEstimate;
    private final PolicyFeatures features;
    private final Consumer<ServingEffect> effects;
    private final FlowLog log;
    private final ArrivalRefusals refusals;
    private final Map<RequestId, Flow> flows = new LinkedHashMap<>();
    private final WaitingSends waiting;
    private final LivenessChecks liveness;
    private ServingConfiguration configuration;
    private int lastAttempt;

    RequestFlows(
            ServingSetup setup,
            UpstreamState upstreams,
            Roster roster,
            StepOrders orders,
            Exchanges exchanges,
            Shutdown shutdown,
            Consumer<ServingEffect> effects) {
        this.directory = upstreams.directory();
        this.health = upstreams.health();
        this.outcomes = new AttemptOutcomes(upstreams);
        this.roster = roster;
        this.notices = exchanges.notices();
        this.rollouts = exchanges.rollouts();
        this.streams = exchanges.streams();
        this.quarantine = exchanges.quarantine();
        this.assignments = exchanges.assignments();
        this.features = setup.features();
        this.load = new LoadEstimate(
                upstreams.load(), upstreams.contention(), setup.self().vm());
        this.priorities = new EnginePriorities(upstreams.contention());
        this.chooser = new UpstreamChooser(
                directory, health, notices.upstreamLimits(roster, setup.coldBound()), setup.domain(), features, load);
        this.log = new FlowLog(effects);
        this.refusals = new ArrivalRefusals(effects, log);
        this.selection = new AttemptSelection(upstreams, chooser, rollouts, streams, log);
        this.waiting = new WaitingSends(selection);
        this.liveness = new LivenessChecks(directory, effects);
        StepTimes times = new StepTimes(engineTimes, features, orders.calls());
        this.pathEstimate = new PathEstimate(times);
        this.steps = new FlowSteps(
                directory,
                orders,
                times,
                (flow, now) -> selection.expectedDomain(flow, configuration, now),
                exchanges.reservations(),
                this::refuse,
                features);
        this.retries = new RetryDecisions(setup, roster, remainingTime, shutdown, quarantine, log);
        this.shutdown = shutdown;
        this.effects = effects;
        this.inputs = new InputRelease(steps, engineTimes, features, log);
    }

    /** Sets the configuration for requests that arrive from now on. */
    void configure(ServingConfiguration latest) {
        configuration = latest;
        steps.configure(latest);
        priorities.configure(latest);
    }

    int size() {
        return flows.size();
    }

    /** Whether any request has no started answer. */
    boolean awaitingAnswer() {
        return flows.values().stream().anyMatch(flow -> !flow.answerStarted());
    }

    /** Handles the restart of an upstream. */
    void onRestarted(VmId upstream) {
        chooser.onRestarted(upstream);
    }

    void onRequest(RoutedRequest request, Instant now) {
        long version = configuration.version();
        if (flows.containsKey(request.id())) {
            refusals.refuseUnrouted(
                    request, ResultCode.REQUEST_IN_FLIGHT, "a request with this id is in progress", version);
            return;
        }
        switch (RouteMatch.of(request, configuration)) {
            case RouteMatch.Denied denied -> refusals.refuseUnrouted(request, denied.code(), denied.message(), version);
            case RouteMatch.Allowed allowed -> begin(request, allowed.route(), allowed.customer(), now);
        }
    }

    private void begin(RoutedRequest request, Route route, Optional<Customer> customer, Instant now) {
        int customerRank = customer.map(each -> each.rank().orElse(0)).orElse(0);
        int rank = EnginePriorities.rank(customerRank, route.rank());
        Flow flow = new Flow(request, route, customer.map(Customer::id), rank, now);
        Duration needed = remainingTime.fromArrival(flow, now);
        if (!shutdown.hasTimeFor(needed, now)) {
            refusals.refuseAtShutdown(flow, needed, shutdown.since(now));
            return;
        }
        flows.put(request.id(), flow);
        retries.onRequest(flow.pool(), now);
        log.accept(flow, configuration.version(), shutdown, now);
        if (!refuseIfQuarantined(flow, now) && !rejectIfEstimatedLate(flow, now)) {
            advance(flow, now);
        }
    }

    /** Refuses a request whose prompt or content crashes upstreams. Returns whether it was refused. */
    private boolean refuseIfQuarantined(Flow flow, Instant now) {
        Optional<QuarantineExchange.Obstacle> obstacle = quarantine.obstacle(flow, now);
        obstacle.ifPresent(found -> fail(flow, found.code(), found.message(), now));
        return obstacle.isPresent();
    }

    /** Ends the requests that must not be sent any more; answers that have begun go on. */
    void onQuarantineChanged(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            if (!flow.answerStarted() && quarantine.concerns(flow, now)) {
                cancelAttempt(flow, now);
                refuseIfQuarantined(flow, now);
            }
        }
    }

    /**
     * Rejects a request whose estimated time through all steps exceeds its latency target by more than an item may
     * wait past it in a pool. Returns whether it was rejected.
     */
    private boolean rejectIfEstimatedLate(Flow flow, Instant now) {
        if (!features.uses(PolicyFeature.WHOLE_WAY_REFUSAL)) {
            return false;
        }
        PathEstimate.Path estimate =
                pathEstimate.estimate(flow, configuration, (pool, rank) -> steps.queueDelayOf(pool, rank, now), now);
        Duration excess = estimate.excess(flow.route().latencyTarget());
        if (!excess.isPositive()) {
            return false;
        }
        long millis = estimate.total().toMillis();
        String message = "estimated time to the first event is " + millis + " ms, beyond the latency target";
        Duration retryAfter = excess.compareTo(DEFAULT_RETRY_AFTER) < 0 ? DEFAULT_RETRY_AFTER : excess;
        refuse(flow, ResultCode.STEP_OVERLOADED, retryAfter, message, now);
        return true;
    }

    /** Orders the steps that are due, or sends the request when all steps are completed. */
    private void advance(Flow flow, Instant now) {
        if (flow.awaitsOrigin() && !bindToStream(flow, now)) {
            return;
        }
        if (flow.stepsCompleted()) {
            send(flow, now);
            return;
        }
        for (Step step : steps.due(flow, now)) {
            if (flows.get(flow.request().id()) != flow) {
                return;
            }
            if (!steps.order(flow, step, now)) {
                String message = "pool \"" + step.pool() + "\" of step " + step.number() + " accepts no items";
                refuse(flow, ResultCode.STEP_FAILED, DEFAULT_RETRY_AFTER, message, now);
                return;
            }
        }
    }

    /** Binds a request to the stream that its caller takes up, if that can go on. Returns whether the request is bound. */
    private boolean bindToStream(Flow flow, Instant now) {
        Optional<AttemptSelection.Selection> obstacle = selection.bindToStream(flow, now);
        if (obstacle.isPresent() && obstacle.get() instanceof AttemptSelection.Selection.Impossible impossible) {
            refuse(flow, impossible.code(), Duration.ZERO, impossible.message(), now);
        }
        return obstacle.isEmpty();
    }

    /** Continues requests whose streams have been found, or are not known to any node. */
    void onStreamsAnswered(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            if (flow.awaitsOrigin()) {
                advance(flow, now);
            }
        }
    }

    /** Continues a request for which a scheduler has answered. */
    void onReservationAnswered(RequestId id, Instant now) {
        advance(flows.get(id), now);
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
                steps.onStepCompleted(flow, answer, made.results());
                advance(flow, now);
            }
            case BatchOutcome.NotMade notMade -> onNotMade(flow, order, notMade, now);
        }
    }

    private void onNotMade(Flow flow, BatchOrder order, BatchOutcome.NotMade notMade, Instant now) {
        if (notMade.reason() == BatchOutcome.Reason.INPUTS_GONE) {
            restartSteps(flow, notMade.retryAfter(), now);
            return;
        }
        String message = "step " + order.step() + " failed: " + notMade.reason();
        ResultCode code = ArrivalRefusals.codeOf(notMade.reason());
        refuse(flow, code, notMade.retryAfter(), message, now);
    }

    /** Restarts all steps, at most once, after a stage server lost a result: no request is sent without its inputs. */
    private void restartSteps(Flow flow, Duration retryAfter, Instant now) {
        steps.endRequest(flow, now);
        if (flow.restartSteps() > MAX_STEP_RESTARTS) {
            refuse(
                    flow,
                    ResultCode.STEP_FAILED,
                    retryAfter,
                    "step results were lost again after all steps had been repeated",
                    now);
            return;
        }
        if (!shutdown.hasTimeFor(remainingTime.fromArrival(flow, now), now)) {
            refuse(flow, ResultCode.SHUTTING_DOWN, Duration.ZERO, SHUTTING_DOWN_MESSAGE, now);
            return;
        }
        log.restartSteps(flow);
        advance(flow, now);
    }

    private void send(Flow flow, Instant now) {
        if (refuseIfQuarantined(flow, now)) {
            return;
        }
        if (flow.inputsReleased()) {
            // The inputs were released during an earlier attempt; another upstream would not find them.
            restartSteps(flow, DEFAULT_RETRY_AFTER, now);
            return;
        }
        if (!shutdown.hasTimeFor(remainingTime.fromSending(flow, now), now)) {
            fail(flow, ResultCode.SHUTTING_DOWN, SHUTTING_DOWN_MESSAGE, now);
            return;
        }
        Optional<DomainId> inputsDomain = steps.domainOf(flow.inputResults());
        if (assignments.awaitsReply(flow, inputsDomain, now)) {
            return;
        }
        switch (selection.select(flow, configuration, inputsDomain, assignments.assigned(flow), now)) {
            case AttemptSelection.Selection.Selected selected -> {
                waiting.remove(flow.request().id());
                send(flow, selected, now);
            }
            case AttemptSelection.Selection.Unavailable unavailable ->
                waiting.waitForUpstream(flow, unavailable.reachable(), now)
                        .ifPresent(ended -> fail(flow, ended.code(), ended.message(), now));
            case AttemptSelection.Selection.Unconfirmed ignored ->
                waiting.addUnconfirmed(flow.request().id());
            case AttemptSelection.Selection.Impossible impossible ->
                fail(flow, impossible.code(), impossible.message(), now);
        }
    }

    private void send(Flow flow, AttemptSelection.Selection.Selected selected, Instant now) {
        if (flow.needsRetry() && !retries.tryAfterRejection(flow, RetryDecisions.Cause.REJECTED, now)) {
            fail(flow, ResultCode.UPSTREAM_FULL, "the limit on retries is reached", now);
            return;
        }
        Upstream upstream = selected.upstream();
        UpstreamChooser.Prompt prompt = selected.prompt();
        lastAttempt++;
        flow.startAttempt(upstream, selected.path(), lastAttempt, now);
        health.onStarted(upstream.id(), now);
        long keptTokens = chooser.cachedTokens(upstream, prompt, now);
        chooser.onSent(upstream.id(), prompt, now);
        boolean stream = flow.route().kind() == RouteKind.STREAM;
        effects.accept(new ServingEffect.Send(new SendOrder(
                flow.request().id(),
                flow.attempt(),
                upstream.listing(),
                flow.deadline(),
                flow.customer(),
                flow.inputHandles(),
                flow.lastEvent(),
                stream,
                selection.retryableElsewhere(flow, now),
                flow.needsFreshConnection(),
                selected.path(),
                priorities.priority(flow.rank(), flow.pool(), configuration))));
        Optional<LoadEstimate.Observation> observed = load.observation(upstream.id(), now);
        Optional<AssignmentExchange.Source> source = assignments.onSent(flow, upstream, now);
        log.send(flow, upstream, health.inFlight(upstream.id()), keptTokens, observed, source, now);
    }

    void onAnswerStarted(ServingEvent.AnswerStarted started, Instant now) {
        Flow flow = flows.get(started.request());
        if (flow == null || flow.attempt() != started.attempt() || flow.target().isEmpty()) {
            return;
        }
        if (!flow.answerStarted()) {
            flow.startAnswer(now);
            flow.recordExecution();
            rollouts.sample(flow, false, now);
        }
        finishReading(flow);
        recordAnswer(flow.target().get(), flow.sentAt());
        log.answerStarted(flow, flow.target().get(), started.notice().orElse(UpstreamNotice.NONE), now);
        Listing upstream = flow.target().get().listing();
        started.notice().ifPresent(notice -> notices.onAnswer(upstream, notice, true, flow.sentAt(), now));
        health.onProgress(flow.target().get().id(), now);
        assignments.onAnswering(flow, started.notice(), now);
        outcomes.recordConnection(flow, upstream.id());
        engineTimes.onFirstEvent(flow.pool(), flow.request().promptTokens(), Duration.between(flow.sentAt(), now), now);
        inputs.onAnswerStarted(flow, now);
    }

    /** Records that an upstream has answered an attempt, so that answers it broke off before were not broken by its end. */
    private void recordAnswer(Upstream upstream, Instant sentAt) {
        quarantine.onAnswer(upstream, sentAt);
        UpstreamRun run = QuarantineExchange.run(upstream);
        flows.values().forEach(flow -> flow.onUpstreamAnswered(run, sentAt));
    }

    void onEventPassed(ServingEvent.EventPassed passed, Instant now) {
        Flow flow = flows.get(passed.request());
        if (flow == null || flow.attempt() != passed.attempt() || flow.target().isEmpty()) {
            return;
        }
        recordBeginning(flow, flow.target().get(), now);
    }

    /** Records which upstream has sent the first event of a stream; later events must come from its version. */
    private void recordBeginning(Flow flow, Upstream upstream, Instant now) {
        if (flow.stream().isPresent()) {
            return;
        }
        flow.bind(flow.request().id(), flow.pool(), now);
        log.streamBegan(flow, upstream);
        streams.onBegan(flow, upstream, now);
    }

    /** Records that the upstream has finished reading the prompt, or will not read it. */
    private void finishReading(Flow flow) {
        if (flow.finishReading()) {
            flow.target()
                    .ifPresent(upstream ->
                            chooser.onPromptRead(upstream.id(), flow.request().promptTokens()));
        }
    }

    void onSendEnded(ServingEvent.SendEnded ended, Instant now) {
        Flow flow = flows.get(ended.request());
        if (flow == null || flow.attempt() != ended.attempt() || flow.target().isEmpty()) {
            return;
        }
        SendEnd end = ended.end();
        Upstream upstream = flow.target().get();
        finishReading(flow);
        if (end instanceof SendEnd.Failed || end instanceof SendEnd.Broken) {
            rollouts.sample(flow, true, now);
        }
        flow.clearTarget(now);
        assignments.onEnded(flow, ended.notice(), now);
        flow.recordEnd(end);
        outcomes.record(flow, upstream, ended, now);
        log.end(flow, upstream, ended, health.inFlight(upstream.id()), Duration.between(flow.sentAt(), now));
        boolean successful = end instanceof SendEnd.Passed;
        ended.notice()
                .ifPresent(notice -> notices.onAnswer(upstream.listing(), notice, successful, flow.sentAt(), now));
        switch (end) {
            case SendEnd.Passed passed -> {
                quarantine.onPassed(flow, upstream, passed.delimited(), now);
                remainingTime.onAnswered(flow, now);
                finish(flow, Outcome.PASSED, "passed", now);
            }
            case SendEnd.GivenUp ignored -> finish(flow, Outcome.LEFT, "attempt cancelled", now);
            case SendEnd.Unsent ignored -> {
                quarantine.onConnectionRefused(upstream, now);
                sendOrFail(flow, retries.tryAfterNoSend(flow, now), "was reached", now);
            }
            case SendEnd.NoPath ignored -> sendOrFail(flow, retries.tryAfterNoSend(flow, now), "was reached", now);
            case SendEnd.NotRun notRun -> onNotRun(flow, upstream, notRun.status(), now);
            case SendEnd.Failed ignored -> onFailed(flow, now);
            case SendEnd.Broken broken -> onBroken(flow, upstream, broken, now);
        }
    }

    private void onNotRun(Flow flow, Upstream upstream, int status, Instant now) {
        if (status == STATUS_UNAVAILABLE) {
            notices.onRejected(upstream.listing(), now);
        }
        if (status != STATUS_INPUTS_GONE || flow.steps().isEmpty()) {
            boolean allowed = retries.tryAfterRejection(flow, RetryDecisions.Cause.REJECTED, now);
            sendOrFail(flow, allowed, "accepted the request", now);
            return;
        }
        inputs.onInputMissing(flow);
        if (!retries.tryAfterRejection(flow, RetryDecisions.Cause.INPUTS_GONE, now)) {
            fail(flow, ResultCode.STEP_FAILED, "step results were lost; the limit on retries is reached", now);
            return;
        }
        restartSteps(flow, DEFAULT_RETRY_AFTER, now);
    }

    private void sendOrFail(Flow flow, boolean allowed, String notDone, Instant now) {
        if (allowed) {
            send(flow, now);
            return;
        }
        fail(flow, ResultCode.UPSTREAM_FULL, "no upstream of pool \"" + flow.pool() + "\" " + notDone, now);
    }

    private void onFailed(Flow flow, Instant now) {
        if (flow.answerStarted()) {
            fail(flow, ResultCode.ATTEMPTS_FAILED, "the upstream that was to resume the stream failed", now);
            return;
        }
        flow.recordExecution();
        if (!retries.tryAfterExecution(flow, RetryDecisions.Cause.FAILED, now)) {
            effects.accept(new ServingEffect.ForwardFailure(flow.request().id()));
            finish(flow, Outcome.FAILED, "upstream failure forwarded", now);
            return;
        }
        send(flow, now);
    }

    private void onBroken(Flow flow, Upstream upstream, SendEnd.Broken broken, Instant now) {
        if (broken.lastEvent().isPresent()) {
            recordBeginning(flow, upstream, now);
        }
        flow.lastEvent(broken.lastEvent());
        if (!flow.answerStarted()) {
            flow.recordExecution();
        }
        flow.recordCrash(QuarantineExchange.run(upstream), now);
        quarantine.onBroken(flow.request(), upstream, now);
        if (retries.mayCrashAnother(flow, now) || !liveness.await(flow, now)) {
            sendAfterBreak(flow, broken.reason(), now);
        }
    }

    void onConnectEnded(ServingEvent.ConnectEnded ended, Instant now) {
        liveness.onConnectEnded(flows.values(), ended);
        continueBrokenAnswers(now);
    }

    private void continueBrokenAnswers(Instant now) {
        for (RequestId id : liveness.pollDecided(now)) {
            sendAfterBreak(flows.get(id), "as many upstreams as the route allows broke it off and go on", now);
        }
    }

    private void sendAfterBreak(Flow flow, String reason, Instant now) {
        if (!retries.tryAfterExecution(flow, RetryDecisions.Cause.BROKEN, now)) {
            String message = !retries.mayCrashAnother(flow, now)
                    ? "the upstream failed before its answer was complete: " + reason
                    : "upstreams " + flow.crashedRuns() + " have failed while they answered the request";
            fail(flow, ResultCode.OUTCOME_UNKNOWN, message, now);
            return;
        }
        send(flow, now);
    }

    /** Ends a request that cannot be served, with the answer that its state allows: cut, unknown outcome or not run. */
    private void fail(Flow flow, ResultCode code, String message, Instant now) {
        if (flow.answerStarted()) {
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
        Duration retryAfter = WITHOUT_RETRY_AFTER.contains(code) ? Duration.ZERO : DEFAULT_RETRY_AFTER;
        refuse(flow, code, retryAfter, message, now);
    }

    /** Refuses a request as not run; if no upstream received it or all of them reported that they did not run it. */
    private void refuse(Flow flow, ResultCode code, Duration retryAfter, String message, Instant now) {
        if (flow.answerStarted() || flow.mayHaveRun()) {
            fail(flow, code, message, now);
            return;
        }
        effects.accept(new ServingEffect.Refuse(flow.request().id(), Refusal.notRun(code, retryAfter, message)));
        finish(flow, Outcome.REFUSED, "refused " + code + ": " + message, now);
    }

    private void finish(Flow flow, Outcome outcome, String reason, Instant now) {
        RequestId id = flow.request().id();
        steps.endRequest(flow, now);
        flows.remove(id);
        waiting.remove(id);
        liveness.remove(id);
        assignments.onFinished(flow, now);
        Duration took = Duration.between(flow.arrivedAt(), now);
        effects.accept(new ServingEffect.Finished(id, flow.route().id().value(), outcome, took));
        log.finish(flow, outcome, reason, now);
    }

    void onCallerDisconnected(RequestId id, Instant now) {
        Flow flow = flows.get(id);
        if (flow == null) {
            return;
        }
        cancelSend(flow, now);
        finish(flow, Outcome.LEFT, "caller disconnected", now);
    }

    private void cancelSend(Flow flow, Instant now) {
        if (flow.target().isPresent()) {
            effects.accept(new ServingEffect.CancelSend(flow.request().id(), flow.attempt()));
            finishReading(flow);
            if (!flow.answerStarted()
                    && now.isAfter(flow.sentAt().plus(flow.route().latencyTarget()))) {
                // An upstream that keeps a caller waiting past the latency target until it leaves counts as failed.
                rollouts.sample(flow, true, now);
            }
            health.onCancelled(flow.target().get().id());
            flow.clearTarget(now);
            assignments.onEnded(flow, Optional.empty(), now);
        }
    }

    /**
     * Refuses requests that are at no upstream and can no longer be answered before the shutdown: another node may
     * still serve them.
     */
    void refuseUnanswerable(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            boolean unsent = flow.target().isEmpty() && !flow.answerStarted();
            if (unsent && !shutdown.hasTimeFor(remainingTime.fromSending(flow, now), now)) {
                refuse(flow, ResultCode.SHUTTING_DOWN, Duration.ZERO, SHUTTING_DOWN_MESSAGE, now);
            }
        }
    }

    /**
     * Gives every remaining request its final answer. Otherwise the connections would be closed without one, and
     * callers could not tell whether their requests were executed.
     */
    void failAll(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            cancelAttempt(flow, now);
            fail(flow, ResultCode.SHUTTING_DOWN, "node shuts down before the answer is complete", now);
        }
    }

    void onTick(Instant now) {
        for (Flow flow : List.copyOf(flows.values())) {
            if (flow.expired(now)) {
                onDeadline(flow, now);
                continue;
            }
            if (flow.awaitsOrigin() || !flow.stepsCompleted()) {
                advance(flow, now);
            }
            inputs.onTick(flow, now);
        }
        continueBrokenAnswers(now);
        sendWaiting(waiting.forUpstreams(), now);
        onDirectoryRead(now);
        onAssigned(now);
    }

    /** Sends requests whose engines have been assigned, or will not be. */
    void onAssigned(Instant now) {
        sendWaiting(assignments.pollReady(), now);
    }

    /** Sends requests that were waiting for a read of the directory. */
    void onDirectoryRead(Instant now) {
        sendWaiting(waiting.pollUnconfirmed(), now);
    }

    private void sendWaiting(List<RequestId> ids, Instant now) {
        for (RequestId id : ids) {
            Flow flow = flows.get(id);
            if (flow != null && flow.target().isEmpty()) {
                send(flow, now);
            }
        }
    }

    /** Cancels the current attempt, which may have been executed. Returns whether there was one. */
    private boolean cancelAttempt(Flow flow, Instant now) {
        boolean sent = flow.target().isPresent();
        if (sent && !flow.mayHaveRun()) {
            flow.recordExecution();
        }
        cancelSend(flow, now);
        return sent;
    }

    private void onDeadline(Flow flow, Instant now) {
        if (flow.answerStarted()) {
            // A stream that lasted until its deadline is a valid duration sample; an upstream that hangs without an
            // answer is not.
            remainingTime.onAnswered(flow, now);
        }
        boolean sent = cancelAttempt(flow, now);
        if (sent || flow.mayHaveRun()) {
            fail(flow, ResultCode.DEADLINE_EXCEEDED, "the deadline has passed", now);
            return;
        }
        refuse(
                flow,
                ResultCode.DEADLINE_CANNOT_BE_MET,
                Duration.ZERO,
                "the deadline has passed before the request was executed",
                now);
    }
}
