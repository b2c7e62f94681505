package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.AttemptReport;
import org.wagtaillug.load.ServerLoad;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.peer.Peers;
import org.wagtaillug.policy.ContentionSwitch;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.ServingConfiguration;

/**
 * Asks the node that assigns the engines of a pool before a request is sent there, and reports to it what becomes of the
 * attempt. That node may be this one, which then answers the others as well.
 */
final class AssignmentExchange {
    /**
     * A reply takes about 3 ms, and a request has hundreds of milliseconds until its latency target; without a reply in this
     * time the node chooses by itself.
     */
    static final Duration REPLY_TIMEOUT = Duration.ofMillis(60);

    private final VmId self;
    private final Peers peers;
    private final UpstreamDirectory directory;
    private final UpstreamPaths paths;
    private final ContentionSwitch contention;
    private final RolloutExchange rollouts;
    private final BooleanSupplier acceptsWork;
    private final Consumer<ServingEffect> effects;
    private final AssignmentHolder assigner;
    private final AssignmentUpdates updates = new AssignmentUpdates(this::sendReports);
    private final AssignmentTimeouts timeouts = new AssignmentTimeouts();
    private final Map<RequestId, Question> questions = new LinkedHashMap<>();
    private final Map<Long, Abandoned> abandoned = new HashMap<>();
    private final Map<RequestId, Advice> advice = new HashMap<>();
    private final List<RequestId> ready = new ArrayList<>();
    private final Map<RequestId, SentAttempt> inFlight = new LinkedHashMap<>();
    private final Map<PoolId, VmId> lastHolders = new HashMap<>();
    private Map<PoolId, PoolProfile> pools = Map.of();
    private long lastNumber;

    private record Question(long number, PoolId pool, int attempts, VmId holder, Instant askedAt) {}

    /** A question whose request has ended before the reply. */
    private record Abandoned(Flow flow, Instant askedAt) {}

    private record Advice(int attempts, List<VmId> engines, String source, Duration waited) {}

    private record SentAttempt(Flow flow, PoolId pool, int number, VmId engine, boolean answering) {}

    /**
     * Who has chosen the engine of an attempt.
     *
     * @param chosenBy {@code holder} or {@code node}
     * @param reason why
     * @param waited how long the request waited for the reply
     */
    record Source(String chosenBy, String reason, Duration waited) {}

    AssignmentExchange(
            ServingSetup setup,
            Peers peers,
            UpstreamState upstreams,
            RolloutExchange rollouts,
            BooleanSupplier acceptsWork,
            Consumer<ServingEffect> effects) {
        this.self = setup.self().vm();
        this.lastNumber = setup.self().messageNumberBase();
        this.peers = peers;
        this.directory = upstreams.directory();
        this.paths = upstreams.paths();
        this.contention = upstreams.contention();
        this.rollouts = rollouts;
        this.acceptsWork = acceptsWork;
        this.effects = effects;
        this.assigner = new AssignmentHolder(directory, effects);
    }

    void configure(ServingConfiguration latest) {
        pools = latest.pools();
        assigner.configure(latest);
    }

    private boolean inUse(PoolId pool) {
        return contention.uses(PolicyFeature.SHARED_ASSIGNMENT)
                && pools.containsKey(pool)
                && pools.get(pool).engine();
    }

    /** The node that assigns the engines of a pool; this node if no other one that supports it is known. */
    private VmId holder(PoolId pool, Instant now) {
        VmId holder = peers.dutyHolder(PeerMembership.assignment(pool), acceptsWork.getAsBoolean(), now);
        return holder.equals(self) || peers.supportsContention(holder) ? holder : self;
    }

    /**
     * Asks for the engine of the next attempt of a request if that has not been done.
     *
     * @param inputsDomain the failure domain that holds most of the inputs
     * @return whether the request must wait for the reply
     */
    boolean awaitsReply(Flow flow, Optional<DomainId> inputsDomain, Instant now) {
        RequestId id = flow.request().id();
        if (questions.containsKey(id)) {
            return true;
        }
        if (!mayAsk(flow) || answered(flow)) {
            return false;
        }
        VmId holder = holder(flow.pool(), now);
        if (timeouts.paused(holder, now)) {
            putAdvice(flow, List.of(), "holder did not reply to earlier requests");
            return false;
        }
        lastNumber++;
        ServingMessage.AssignmentRequest request = request(flow, inputsDomain, now);
        if (holder.equals(self)) {
            putAdvice(flow, assigner.assign(self, request, now), "this node assigns the engines");
            return false;
        }
        updates.flushBefore(flow.pool(), id);
        questions.put(id, new Question(lastNumber, flow.pool(), flow.attempts(), holder, now));
        effects.accept(new ServingEffect.SendToPeer(holder, request));
        count(flow.pool(), ServingEffect.AssignmentEvent.ASKED);
        return true;
    }

    /** Requests of a rollout, of a stream that has begun or through another node choose among fewer engines. */
    private boolean mayAsk(Flow flow) {
        return inUse(flow.pool())
                && flow.stream().isEmpty()
                && !rollouts.inProgress()
                && !paths.unreachable(flow.pool())
                && !directory.usable(flow.pool()).isEmpty();
    }

    private boolean answered(Flow flow) {
        Advice known = advice.get(flow.request().id());
        return known != null && known.attempts() == flow.attempts();
    }

    private void putAdvice(Flow flow, List<VmId> engines, String source) {
        advice.put(flow.request().id(), new Advice(flow.attempts(), engines, source, Duration.ZERO));
    }

    private ServingMessage.AssignmentRequest request(Flow flow, Optional<DomainId> inputsDomain, Instant now) {
        RoutedRequest request = flow.request();
        return new ServingMessage.AssignmentRequest(
                lastNumber,
                request.id(),
                flow.pool(),
                request.promptSegments(),
                request.promptTokens(),
                request.maxOutputTokens(),
                flow.rank(),
                inputsDomain,
                flow.estimatedInputBytes(),
                flow.excludedUpstreams(UpstreamPath.DIRECT),
                Duration.between(now, flow.deadline()));
    }

    /** The engines that were assigned to the next attempt of a request, in order; empty if it chooses by itself. */
    List<VmId> assigned(Flow flow) {
        return mayAsk(flow) && answered(flow) ? advice.get(flow.request().id()).engines() : List.of();
    }

    /** Answers the request of another node. */
    void onRequest(NodeId sender, ServingMessage.AssignmentRequest request, Instant now) {
        List<VmId> engines = assigner.assign(sender.vm(), request, now);
        effects.accept(new ServingEffect.SendToPeer(
                sender.vm(), new ServingMessage.AssignmentReply(Optional.of(sender), request.number(), engines)));
    }

    /** Processes a reply; a late one is ignored. */
    void onReply(NodeId sender, ServingMessage.AssignmentReply reply, Instant now) {
        for (Map.Entry<RequestId, Question> entry : questions.entrySet()) {
            Question question = entry.getValue();
            if (question.number() == reply.number() && question.holder().equals(sender.vm())) {
                questions.remove(entry.getKey());
                timeouts.onReply(sender.vm());
                count(question.pool(), ServingEffect.AssignmentEvent.ANSWERED);
                String source = reply.engines().isEmpty() ? "holder knows no engine" : "reply of " + sender.vm();
                settle(entry.getKey(), question, reply.engines(), source, now);
                return;
            }
        }
        Abandoned ended = abandoned.remove(reply.number());
        if (ended != null && !reply.engines().isEmpty()) {
            reportUnsent(ended.flow(), reply.engines().getFirst(), now);
        }
    }

    /** Reports that a request will not be sent to the engine that was assigned to it. */
    private void reportUnsent(Flow flow, VmId engine, Instant now) {
        SentAttempt unsent = new SentAttempt(flow, flow.pool(), flow.attempt(), engine, false);
        report(unsent, AttemptReport.State.ENDED, Optional.empty(), now);
    }

    private void settle(RequestId request, Question question, List<VmId> engines, String source, Instant now) {
        Duration waited = Duration.between(question.askedAt(), now);
        advice.put(request, new Advice(question.attempts(), engines, source, waited));
        ready.add(request);
    }

    /** The requests that no longer wait for a reply, once each. */
    List<RequestId> pollReady() {
        List<RequestId> polled = List.copyOf(ready);
        ready.clear();
        return polled;
    }

    /** Processes the reports of another node. */
    void onUpdate(NodeId sender, ServingMessage.AssignmentUpdate update, Instant now) {
        assigner.onReports(sender.vm(), update.pool(), update.attempts(), now);
    }

    /**
     * Records that an attempt is sent.
     *
     * @return who has chosen its engine; empty if it is not sent to an engine that is assigned
     */
    Optional<Source> onSent(Flow flow, Upstream engine, Instant now) {
        if (!inUse(flow.pool())) {
            return Optional.empty();
        }
        RequestId id = flow.request().id();
        Advice used = advice.remove(id);
        int place = used == null ? -1 : used.engines().indexOf(engine.id());
        SentAttempt attempt = new SentAttempt(flow, flow.pool(), flow.attempt(), engine.id(), false);
        inFlight.put(id, attempt);
        if (place != 0) {
            report(attempt, AttemptReport.State.SENT, Optional.empty(), now);
        }
        if (place >= 0) {
            count(flow.pool(), ServingEffect.AssignmentEvent.USED);
            return Optional.of(new Source("holder", "choice " + (place + 1) + ", " + used.source(), used.waited()));
        }
        if (used == null) {
            return Optional.of(new Source("node", "not asked", Duration.ZERO));
        }
        String reason = used.engines().isEmpty() ? used.source() : "no assigned engine is allowed";
        return Optional.of(new Source("node", reason, used.waited()));
    }

    /** Records that the answer of an attempt has begun. */
    void onAnswering(Flow flow, Optional<UpstreamNotice> notice, Instant now) {
        SentAttempt attempt = inFlight.get(flow.request().id());
        if (attempt != null && !attempt.answering()) {
            SentAttempt answering = new SentAttempt(flow, attempt.pool(), attempt.number(), attempt.engine(), true);
            inFlight.put(flow.request().id(), answering);
            report(answering, AttemptReport.State.ANSWERING, notice.flatMap(UpstreamNotice::load), now);
        }
    }

    /** Records that the attempt of a request has ended in any way. */
    void onEnded(Flow flow, Optional<UpstreamNotice> notice, Instant now) {
        SentAttempt attempt = inFlight.remove(flow.request().id());
        if (attempt != null) {
            report(attempt, AttemptReport.State.ENDED, notice.flatMap(UpstreamNotice::load), now);
        }
    }

    /** Forgets a request that has ended, and its engine if it was not sent there. */
    void onFinished(Flow flow, Instant now) {
        RequestId id = flow.request().id();
        onEnded(flow, Optional.empty(), now);
        Question open = questions.remove(id);
        if (open != null) {
            abandoned.put(open.number(), new Abandoned(flow, open.askedAt()));
        }
        Advice unused = advice.remove(id);
        if (unused != null && !unused.engines().isEmpty()) {
            reportUnsent(flow, unused.engines().getFirst(), now);
        }
    }

    private void report(SentAttempt attempt, AttemptReport.State state, Optional<ServerLoad> load, Instant now) {
        AttemptReport report = attemptReport(attempt, state, load, now);
        if (holder(attempt.pool(), now).equals(self)) {
            assigner.onReports(self, attempt.pool(), List.of(report), now);
        } else {
            updates.add(attempt.pool(), report, now);
        }
    }

    private static AttemptReport attemptReport(
            SentAttempt attempt, AttemptReport.State state, Optional<ServerLoad> load, Instant now) {
        RoutedRequest request = attempt.flow().request();
        boolean sent = state == AttemptReport.State.SENT;
        return new AttemptReport(
                request.id(),
                attempt.number(),
                attempt.engine(),
                state,
                sent ? request.promptSegments() : List.of(),
                sent ? request.promptTokens() : 0,
                sent ? request.maxOutputTokens() : 0,
                state == AttemptReport.State.ENDED
                        ? Duration.ZERO
                        : Duration.between(now, attempt.flow().deadline()),
                load);
    }

    private void sendReports(PoolId pool, List<AttemptReport> reports) {
        VmId holder = lastHolders.getOrDefault(pool, self);
        if (!holder.equals(self)) {
            effects.accept(new ServingEffect.SendToPeer(holder, new ServingMessage.AssignmentUpdate(pool, reports)));
        }
    }

    /** Ends the wait for replies that are overdue, and sends the reports that are due. */
    void onTick(Instant now) {
        if (!contention.uses(PolicyFeature.SHARED_ASSIGNMENT)) {
            return;
        }
        for (PoolProfile pool : pools.values()) {
            if (pool.engine()) {
                updateHolder(pool.id(), now);
            }
        }
        for (Map.Entry<RequestId, Question> entry : List.copyOf(questions.entrySet())) {
            Question question = entry.getValue();
            if (now.isBefore(question.askedAt().plus(REPLY_TIMEOUT))) {
                break;
            }
            questions.remove(entry.getKey());
            timeouts.onTimeout(question.holder(), now);
            count(question.pool(), ServingEffect.AssignmentEvent.TIMED_OUT);
            settle(entry.getKey(), question, List.of(), "no reply of " + question.holder() + " in time", now);
        }
        abandoned.values().removeIf(ended -> now.isAfter(ended.askedAt().plus(REPLY_TIMEOUT)));
        updates.onTick(now);
    }

    /** Reports the attempts in flight to a new holder. */
    private void updateHolder(PoolId pool, Instant now) {
        VmId holder = holder(pool, now);
        VmId before = lastHolders.put(pool, holder);
        if (holder.equals(before)) {
            return;
        }
        updates.discard(pool);
        if (self.equals(before)) {
            assigner.release(pool);
        }
        for (SentAttempt attempt : List.copyOf(inFlight.values())) {
            if (attempt.pool().equals(pool)) {
                report(attempt, AttemptReport.State.SENT, Optional.empty(), now);
                if (attempt.answering()) {
                    report(attempt, AttemptReport.State.ANSWERING, Optional.empty(), now);
                }
            }
        }
    }

    /** Forgets what other nodes had in flight until their deadlines, and engines that are gone. */
    void onHousekeeping(Instant now) {
        assigner.onTick(now);
    }

    void onEngineRestarted(VmId engine) {
        assigner.onEngineRestarted(engine);
    }

    void onPeerRestarted(VmId peer) {
        assigner.onNodeRestarted(peer);
    }

    /** Whether ticks must be frequent, as a request waits for a reply or reports are to be sent. */
    boolean busy() {
        return !questions.isEmpty() || !updates.isEmpty();
    }

    /** The attempts of all nodes that count as in flight at an engine if this node assigns it. */
    int assignedInFlight(PoolId pool, VmId engine) {
        return assigner.inFlight(pool, engine);
    }

    private void count(PoolId pool, ServingEffect.AssignmentEvent event) {
        effects.accept(new ServingEffect.CountAssignment(pool, event));
    }
}
