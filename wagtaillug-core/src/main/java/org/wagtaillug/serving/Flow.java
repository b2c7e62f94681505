package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.quarantine.UpstreamRun;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.Step;

/** The state of one request, from its arrival to its answer. */
final class Flow {
    private final RoutedRequest request;
    private final Route route;
    private final Optional<CustomerId> customer;
    private final int rank;
    private final Instant arrivedAt;
    private final Instant deadline;
    private final Instant firstEventDeadline;
    private PoolId pool;
    private final Map<Integer, List<StepResult>> results = new HashMap<>();
    private final Map<Integer, Instant> orderTimes = new HashMap<>();
    private final Set<Integer> released = new HashSet<>();
    private final Set<VmId> triedUpstreams = new HashSet<>();
    private final Set<VmId> unreachedDirectly = new HashSet<>();
    private Optional<Upstream> target = Optional.empty();
    private UpstreamPath path = UpstreamPath.DIRECT;
    private Instant sentAt = Instant.EPOCH;
    private Instant untargetedSince;
    private Optional<Instant> firstEventAt = Optional.empty();
    private Optional<SlowestStep> slowestStep = Optional.empty();
    private Optional<String> lastEvent;
    private Optional<RequestId> stream = Optional.empty();
    private int attempt;
    private int attempts;
    private int executions;
    private int stepRestarts;
    private final List<Crash> crashes = new ArrayList<>();
    private final Set<VmId> endedUpstreams = new HashSet<>();
    private int answersBrokenOffAlive;
    private boolean trial;
    private boolean readingPrompt;
    private boolean answerStarted;
    private boolean mayHaveRun;
    private boolean arrived;
    private boolean retryGranted;

    /**
     * The step that took longest, for the log.
     *
     * @param step its number
     * @param pool the pool whose servers executed it
     * @param took time from its order to its last result
     */
    record SlowestStep(int step, PoolId pool, Duration took) {}

    private record Crash(UpstreamRun run, Instant at, boolean answerStarted) {}

    Flow(RoutedRequest request, Route route, Optional<CustomerId> customer, int rank, Instant now) {
        this.request = request;
        this.route = route;
        this.customer = customer;
        this.rank = rank;
        this.arrivedAt = now;
        this.untargetedSince = now;
        Duration timeout =
                request.callerTimeout().compareTo(route.timeout()) < 0 ? request.callerTimeout() : route.timeout();
        this.deadline = now.plus(timeout);
        Instant firstEventLimit = now.plus(route.firstEventWithin());
        this.firstEventDeadline = firstEventLimit.isBefore(deadline) ? firstEventLimit : deadline;
        this.pool = route.poolOf(request.id());
        this.lastEvent = request.resumption().map(Resumption::lastEvent);
    }

    RoutedRequest request() {
        return request;
    }

    Route route() {
        return route;
    }

    Optional<CustomerId> customer() {
        return customer;
    }

    int rank() {
        return rank;
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    Instant deadline() {
        return deadline;
    }

    /** When the request expires if its answer has not started. */
    Instant firstEventDeadline() {
        return firstEventDeadline;
    }

    /** Whether the first-event deadline or, once the answer has started, the request deadline has passed. */
    boolean expired(Instant now) {
        return !now.isBefore(answerStarted ? deadline : firstEventDeadline);
    }

    PoolId pool() {
        return pool;
    }

    /** Id of the request that brought the first event of this stream; empty until an event has been passed. */
    Optional<RequestId> stream() {
        return stream;
    }

    /** Whether the caller takes up a stream of which it is not known yet where it began. */
    boolean awaitsOrigin() {
        return route.kind() == RouteKind.STREAM && lastEvent.isPresent() && stream.isEmpty();
    }

    /**
     * Binds this request to a stream, which goes on in the pool in which it began.
     *
     * @param since the directory must have been read since then before the request is sent
     */
    void bind(RequestId boundStream, PoolId boundPool, Instant since) {
        untargetedSince = since;
        stream = Optional.of(boundStream);
        pool = boundPool;
    }

    /** The steps for which this request has items. */
    List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        for (Step step : route.steps()) {
            if (request.itemsOf(step.number()) > 0) {
                steps.add(step);
            }
        }
        return steps;
    }

    /** The steps that are not ordered yet and whose inputs are complete. */
    List<Step> readySteps() {
        List<Step> readySteps = new ArrayList<>();
        for (Step step : steps()) {
            if (!orderTimes.containsKey(step.number()) && inputsComplete(step)) {
                readySteps.add(step);
            }
        }
        return readySteps;
    }

    private boolean inputsComplete(Step step) {
        for (int before : step.predecessors()) {
            if (request.itemsOf(before) > 0 && !results.containsKey(before)) {
                return false;
            }
        }
        return true;
    }

    void recordOrder(Step step, Instant now) {
        orderTimes.put(step.number(), now);
    }

    /** Whether a step has been ordered. */
    boolean ordered() {
        return !orderTimes.isEmpty();
    }

    /** When a step was ordered; empty if it has not been ordered. */
    Optional<Instant> orderedAt(Step step) {
        return Optional.ofNullable(orderTimes.get(step.number()));
    }

    void complete(int step, List<StepResult> stepResults, Duration took) {
        results.put(step, stepResults);
        if (slowestStep.isEmpty() || took.compareTo(slowestStep.get().took()) > 0) {
            slowestStep =
                    Optional.of(new SlowestStep(step, route.steps().get(step).pool(), took));
        }
    }

    /** The slowest step so far. */
    Optional<SlowestStep> slowestStep() {
        return slowestStep;
    }

    boolean completed(Step step) {
        return results.containsKey(step.number());
    }

    /** The steps without successors: their results are inputs of the upstream. */
    List<Step> finalSteps() {
        List<Step> finalSteps = new ArrayList<>();
        for (Step step : steps()) {
            if (!hasSuccessor(step)) {
                finalSteps.add(step);
            }
        }
        return finalSteps;
    }

    /** Whether a step is the same as, or a direct or indirect predecessor of, another one. */
    boolean isOrPrecedes(Step step, Step later) {
        if (step.number() == later.number()) {
            return true;
        }
        for (Step next : steps()) {
            if (next.predecessors().contains(step.number()) && isOrPrecedes(next, later)) {
                return true;
            }
        }
        return false;
    }

    /** The inputs of a step: all results of its direct predecessors. */
    List<StepResult> inputResults(Step step) {
        List<StepResult> inputs = new ArrayList<>();
        for (int before : step.predecessors()) {
            inputs.addAll(results.getOrDefault(before, List.of()));
        }
        return inputs;
    }

    /** Estimate of the bytes that the servers of a step fetch: each item fetches all inputs. */
    long estimatedInputBytes(Step step) {
        long bytes = 0;
        for (int before : step.predecessors()) {
            bytes += route.steps().get(before).resultBytes() * request.itemsOf(before);
        }
        return bytes * request.itemsOf(step.number());
    }

    /** Estimate of the total size of the results of a step. */
    long estimatedResultBytes(Step step) {
        return step.resultBytes() * request.itemsOf(step.number());
    }

    /** Whether the results of a step are inputs of the upstream. */
    boolean isFinal(Step step) {
        return !hasSuccessor(step);
    }

    /** The handles of the inputs of a step. */
    List<String> inputHandles(Step step) {
        return inputResults(step).stream().map(StepResult::handle).toList();
    }

    boolean stepsCompleted() {
        for (Step step : steps()) {
            if (!results.containsKey(step.number())) {
                return false;
            }
        }
        return true;
    }

    /** The inputs of the upstream: all results of the steps without successors. */
    List<StepResult> inputResults() {
        List<StepResult> inputs = new ArrayList<>();
        for (Step step : finalSteps()) {
            inputs.addAll(results.getOrDefault(step.number(), List.of()));
        }
        return inputs;
    }

    /** Estimate of the total size of the inputs of the upstream. */
    long estimatedInputBytes() {
        long bytes = 0;
        for (Step step : finalSteps()) {
            bytes += estimatedResultBytes(step);
        }
        return bytes;
    }

    /** The handles of the inputs of the upstream. */
    List<String> inputHandles() {
        return inputResults().stream().map(StepResult::handle).toList();
    }

    private boolean hasSuccessor(Step step) {
        for (Step other : steps()) {
            if (other.predecessors().contains(step.number())) {
                return true;
            }
        }
        return false;
    }

    /** The results that no step needs once a given step is completed; each result is returned once. */
    List<StepResult> releasableAfter(Step completed) {
        List<StepResult> releasable = new ArrayList<>();
        for (int before : completed.predecessors()) {
            boolean unneeded = true;
            for (Step other : steps()) {
                unneeded &= !other.predecessors().contains(before) || results.containsKey(other.number());
            }
            if (unneeded) {
                releasable.addAll(release(before));
            }
        }
        return releasable;
    }

    /** All results that have not been released, which then count as released. */
    List<StepResult> releaseAll() {
        List<StepResult> unreleased = new ArrayList<>();
        for (int step : List.copyOf(results.keySet())) {
            unreleased.addAll(release(step));
        }
        return unreleased;
    }

    /** Whether inputs of the upstream have been released, so that their servers may have dropped them. */
    boolean inputsReleased() {
        for (Step step : finalSteps()) {
            if (released.contains(step.number())) {
                return true;
            }
        }
        return false;
    }

    /** The number of the step that produced a result; -1 if there is none. */
    int stepOf(StepResult result) {
        for (Map.Entry<Integer, List<StepResult>> entry : results.entrySet()) {
            if (entry.getValue().contains(result)) {
                return entry.getKey();
            }
        }
        return -1;
    }

    private List<StepResult> release(int step) {
        return released.add(step) ? results.getOrDefault(step, List.of()) : List.of();
    }

    /** Resets all steps after a result was lost at its stage server. Returns how often that has happened. */
    int restartSteps() {
        results.clear();
        orderTimes.clear();
        released.clear();
        stepRestarts++;
        return stepRestarts;
    }

    /** Records that an upstream may have crashed while it answered this request. */
    void recordCrash(UpstreamRun run, Instant now) {
        crashes.add(new Crash(run, now, answerStarted));
    }

    /** Records that an upstream has answered an attempt, and so has not crashed before that was sent. */
    void onUpstreamAnswered(UpstreamRun run, Instant attemptSentAt) {
        for (Crash crash : List.copyOf(crashes)) {
            if (crash.run().equals(run) && crash.at().isBefore(attemptSentAt)) {
                refute(crash);
            }
        }
    }

    /** Records that an upstream has been reached after all answers that it broke off, and so has not crashed. */
    void onUpstreamReached(VmId upstream) {
        List.copyOf(crashes).stream()
                .filter(crash -> crash.run().upstream().equals(upstream))
                .forEach(this::refute);
    }

    private void refute(Crash crash) {
        crashes.remove(crash);
        if (crash.answerStarted()) {
            answersBrokenOffAlive++;
        }
    }

    /** Records that an upstream that broke off an answer of this request has ended or is cut off. */
    void onUpstreamEnded(VmId upstream) {
        if (crashes.stream().anyMatch(crash -> crash.run().upstream().equals(upstream))) {
            endedUpstreams.add(upstream);
        }
    }

    /** The runs of upstreams that broke off the begun answer and that may have crashed or not. */
    List<UpstreamRun> undecidedRuns() {
        return crashes.stream()
                .filter(Crash::answerStarted)
                .map(Crash::run)
                .filter(run -> !endedUpstreams.contains(run.upstream()))
                .toList();
    }

    /** The runs of upstreams that may have ended while they answered this request. */
    List<UpstreamRun> crashedRuns() {
        return crashes.stream().map(Crash::run).toList();
    }

    /** How often this request was executed, without the begun answers whose upstreams are known to have ended. */
    int runsOnLivingUpstreams() {
        return executionsBeforeAnswer()
                + answersBrokenOffAlive
                + undecidedRuns().size();
    }

    /** Whether this request has executions left for its route only if some of the undecided runs have ended. */
    boolean attemptsDependOnLiveness() {
        int decided = Math.max(executions, executionsBeforeAnswer() + answersBrokenOffAlive);
        return decided < route.attempts() && runsOnLivingUpstreams() >= route.attempts();
    }

    private int executionsBeforeAnswer() {
        return answerStarted ? executions - 1 : executions;
    }

    /** Whether this request is sent in spite of a quarantine, to find out whether that is still needed. */
    boolean trial() {
        return trial;
    }

    void startTrial() {
        trial = true;
    }

    Set<VmId> triedUpstreams() {
        return triedUpstreams;
    }

    Optional<Upstream> target() {
        return target;
    }

    /** The upstreams that must not get the request over a path: one that could not be reached directly may through a peer. */
    Set<VmId> excludedUpstreams(UpstreamPath candidate) {
        Set<VmId> excluded = new HashSet<>(triedUpstreams);
        if (candidate instanceof UpstreamPath.ThroughPeer) {
            excluded.removeAll(unreachedDirectly);
        }
        return excluded;
    }

    /** Records that no byte of the current attempt was sent, and that this says nothing about the upstream itself. */
    void onPathFailed(VmId upstream) {
        switch (path) {
            case UpstreamPath.Direct ignored -> unreachedDirectly.add(upstream);
            case UpstreamPath.ThroughPeer ignored -> triedUpstreams.remove(upstream);
        }
    }

    /** The path of the latest attempt. */
    UpstreamPath path() {
        return path;
    }

    /** Whether the latest attempt opened a connection from this node to its upstream. */
    boolean opensConnection() {
        return path instanceof UpstreamPath.Direct && needsFreshConnection();
    }

    /** Whether the request must not be sent on a connection that was used before. */
    boolean needsFreshConnection() {
        return route.kind() == RouteKind.STREAM || route.kind() == RouteKind.ONCE;
    }

    /** Starts an attempt at an upstream; attempt numbers are unique within a run of the node. */
    void startAttempt(Upstream upstream, UpstreamPath attemptPath, int number, Instant now) {
        target = Optional.of(upstream);
        path = attemptPath;
        triedUpstreams.add(upstream.id());
        unreachedDirectly.remove(upstream.id());
        sentAt = now;
        readingPrompt = true;
        attempt = number;
        attempts++;
    }

    /** Records that the upstream has stopped reading the prompt. Returns whether it was reading it. */
    boolean finishReading() {
        boolean wasReading = readingPrompt;
        readingPrompt = false;
        return wasReading;
    }

    /** Records how an attempt ended; once one may have reached its upstream, the next one is a retry. */
    void recordEnd(SendEnd end) {
        boolean unsent = end instanceof SendEnd.Unsent || end instanceof SendEnd.NoPath;
        arrived |= !unsent;
        retryGranted &= unsent;
    }

    /** Whether the next attempt is a retry that has not been taken from a budget. */
    boolean needsRetry() {
        return arrived && !retryGranted;
    }

    /** Records that the next attempt has been taken from a budget. */
    void grantRetry() {
        retryGranted = true;
    }

    void clearTarget(Instant now) {
        target = Optional.empty();
        untargetedSince = now;
    }

    /** Since when the request is at no upstream; meaningful only while it is at none. */
    Instant untargetedSince() {
        return untargetedSince;
    }

    Instant sentAt() {
        return sentAt;
    }

    /** The number of attempts so far. */
    int attempts() {
        return attempts;
    }

    int attempt() {
        return attempt;
    }

    /** Records that one more attempt has been, or may have been, executed. */
    void recordExecution() {
        executions++;
        mayHaveRun = true;
    }

    int executions() {
        return executions;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void startAnswer(Instant now) {
        answerStarted = true;
        firstEventAt = Optional.of(now);
    }

    /** When the head of the answer was sent to the caller. */
    Optional<Instant> firstEventAt() {
        return firstEventAt;
    }

    /** Whether the head of the answer was sent to the caller. */
    boolean answerStarted() {
        return answerStarted;
    }

    Optional<String> lastEvent() {
        return lastEvent;
    }

    void lastEvent(Optional<String> latest) {
        lastEvent = latest.isPresent() ? latest : lastEvent;
    }
}
