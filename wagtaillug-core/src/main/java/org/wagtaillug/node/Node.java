package org.wagtaillug.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.claim.ClaimResult;
import org.wagtaillug.claim.Claims;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.dispatch.Dispatcher;
import org.wagtaillug.dispatch.FlowView;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.drain.Drain;
import org.wagtaillug.grant.GrantHolder;
import org.wagtaillug.grant.GrantOwner;
import org.wagtaillug.grant.GrantView;
import org.wagtaillug.health.LoadReport;
import org.wagtaillug.health.UpstreamHealth;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogStream;
import org.wagtaillug.membership.Members;
import org.wagtaillug.membership.ViewStatus;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.message.PeerMessage;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.placement.Placement;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.routing.LeastCompletionPolicy;
import org.wagtaillug.routing.RoundRobinPolicy;
import org.wagtaillug.routing.RoutingPolicy;
import org.wagtaillug.routing.Upstreams;

/**
 * The decision logic of one node, driven by events. Not thread-safe: use it from one thread.
 *
 * <pre>{@code
 * List<Effect> effects = node.handle(new Event.RequestArrived(request), now);
 * }</pre>
 */
public final class Node {
    /** Maximum interval between two {@link Event.Tick} events from the driver. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Minimum interval for work that visits every upstream and decides nothing that is due within milliseconds. */
    private static final Duration SLOW_TICK_INTERVAL = Duration.ofMillis(50);

    private static final Duration VM_LIST_INTERVAL = Duration.ofMillis(500);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Effects effects = new Effects();
    private final ControlState state;
    private final ControlLog controlLog;
    private final Members members;
    private final VmDirectory directory;
    private final UpstreamHealth health = new UpstreamHealth();
    private final GrantOwner grantOwner;
    private final GrantHolder grantHolder;
    private final Placement placement;
    private final Claims claims;
    private final Dispatcher dispatcher;
    private final Drain drain;

    private Instant slowTickDue = Instant.EPOCH;
    private Instant vmListDue = Instant.EPOCH;
    private Optional<Boolean> reportedReady = Optional.empty();
    private boolean drainFinishedReported;

    /** Creates a node without any state. */
    public Node(NodeSetup setup) {
        drain = new Drain(setup.shutdownGrace());
        state = new ControlState();
        controlLog = ControlLog.builder(setup.self(), setup.address(), state).build();
        members = new Members(controlLog, setup.seeds());
        directory = new VmDirectory(state);
        grantOwner = new GrantOwner(members, state);
        grantHolder = new GrantHolder(members, state, grantOwner);
        placement = new Placement(members, state);
        claims = Claims.builder(setup.self())
                .retention(setup.retention())
                .members(state::isMember)
                .build();
        Upstreams upstreams = setup.baselinePolicy()
                ? new BaselineUpstreams(directory)
                : new GrantedUpstreams(directory, grantHolder, health);
        RoutingPolicy policy = setup.baselinePolicy()
                ? new RoundRobinPolicy(upstreams)
                : new LeastCompletionPolicy(upstreams, setup.address().domain());
        dispatcher = new Dispatcher(setup.limits(), state, upstreams, policy, new KeyClaimsAdapter(claims), drain);
    }

    /** Handles one event and returns the effects to execute, in order. */
    public List<Effect> handle(Event event, Instant now) {
        switch (event) {
            case Event.Tick ignored -> onTick(now);
            case Event.RequestArrived arrived -> onRequest(arrived.request(), now);
            case Event.CallerDisconnected disconnected ->
                dispatcher.onCallerDisconnected(disconnected.request(), now, effects);
            case Event.AttemptProgressed progressed -> dispatcher.onProgress(progressed.attempt(), now);
            case Event.AttemptEnded ended -> dispatcher.onEnded(ended.attempt(), ended.end(), now, effects);
            case Event.PeerMessageReceived received -> onPeerMessage(received, now);
            case Event.LogRead read -> onLogRead(read, now);
            case Event.LogReadFailed failed -> onLogReadFailed(failed.stream(), now);
            case Event.LogAppended appended -> onAppended(appended, now);
            case Event.LogAppendFailed failed -> onAppendFailed(failed, now);
            case Event.VmListRead read -> onVmList(read.vms(), now);
            case Event.LoadReported reported -> onLoad(reported, now);
            case Event.LoadRequestFailed missing -> grantOwner.onLoadRequestFailed(missing.upstream(), now, effects);
            case Event.ChangeSubmitted submitted -> controlLog.submit(submitted.change(), now, effects);
            case Event.OrderEnded ended -> placement.onOrderEnded(ended.upstream(), ended.accepted(), now, effects);
            case Event.DrainStarted started -> drain.start(started.requestedAt());
        }
        deliverClaimResults(now);
        reportReadiness(now);
        return effects.drain();
    }

    private void onTick(Instant now) {
        controlLog.onTick(now, effects);
        members.onTick(now, effects);
        claims.onTick(now, effects);
        if (drain.outOfTime(now)) {
            claims.shutDown(now);
        }
        // A request that waits for its key is answered at its deadline by the claims, which know whether another
        // request with the key is running. The dispatcher does not know that and would report "not run" for a key that
        // is being run.
        deliverClaimResults(now);
        dispatcher.onTick(now, effects);
        grantHolder.onTick(now, effects);
        advanceDrain(now);
        if (now.isBefore(slowTickDue)) {
            return;
        }
        slowTickDue = now.plus(SLOW_TICK_INTERVAL);
        readVmList(now);
        grantOwner.onTick(now, effects);
        placement.onTick(now, effects);
    }

    private void readVmList(Instant now) {
        if (now.isBefore(vmListDue)) {
            return;
        }
        vmListDue = now.plus(VM_LIST_INTERVAL);
        effects.add(new Effect.ReadVmList());
    }

    private void onRequest(Request request, Instant now) {
        Optional<Refusal> admissionRefusal = admissionRefusal(now);
        if (admissionRefusal.isPresent()) {
            effects.add(new Effect.AnswerRefused(request.id(), 0, admissionRefusal.get()));
            return;
        }
        dispatcher.onRequest(request, now, effects);
    }

    /** The reason why the node accepts no requests at all; empty while it accepts them. */
    private Optional<Refusal> admissionRefusal(Instant now) {
        if (drain.refuses(now)) {
            return refuse(ResultCode.SHUTTING_DOWN, "the node is shutting down; retry on another node");
        }
        if (!controlLog.complete() || !directory.isLoaded()) {
            return refuse(ResultCode.NOT_READY, "the node has not read the complete configuration yet");
        }
        if (members.viewStatus(now) == ViewStatus.CUT_OFF) {
            return refuse(
                    ResultCode.NODE_CUT_OFF, "the node is cut off from configuration changes; retry on another node");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refuse(ResultCode code, String message) {
        return Optional.of(Refusal.notRun(code, RETRY_AFTER, message));
    }

    private void onPeerMessage(Event.PeerMessageReceived received, Instant now) {
        switch (received.message()) {
            case PeerMessage.GrantRequest request ->
                grantOwner.onGrantRequest(received.sender(), request, now, effects);
            case PeerMessage.GrantReply reply -> {
                grantHolder.onReply(received.sender(), reply, now, effects);
                dispatcher.onCapacityAvailable(now, effects);
            }
            case PeerMessage.Probe probe -> members.onPeerMessage(received.sender(), probe, now, effects);
            case PeerMessage.ProbeReply reply -> members.onPeerMessage(received.sender(), reply, now, effects);
            case PeerMessage.StateRequest request -> members.onPeerMessage(received.sender(), request, now, effects);
            case PeerMessage.StateReply reply -> members.onPeerMessage(received.sender(), reply, now, effects);
            case ServingMessage ignored -> {
                // Sent between nodes that route by host and path. This node does not, and owes no answer.
            }
        }
    }

    private void onLogRead(Event.LogRead read, Instant now) {
        switch (read.stream()) {
            case CONTROL -> controlLog.onLogRead(read.sentAt(), read.batch(), now, effects);
            case CLAIMS -> claims.onLogRead(read.sentAt(), read.batch(), now, effects);
        }
    }

    private void onLogReadFailed(LogStream stream, Instant now) {
        switch (stream) {
            case CONTROL -> controlLog.onLogReadFailed(now, effects);
            case CLAIMS -> claims.onLogReadFailed(now, effects);
        }
    }

    private void onAppended(Event.LogAppended appended, Instant now) {
        boolean handled = controlLog.onAppended(appended.append(), appended.offset(), now, effects)
                || members.onAppended(appended.append(), appended.offset(), now, effects);
        if (!handled) {
            claims.onAppended(appended.append(), appended.offset(), now, effects);
        }
    }

    private void onAppendFailed(Event.LogAppendFailed failed, Instant now) {
        boolean handled = controlLog.onAppendFailed(failed.append(), failed.mayTakeEffect(), now, effects)
                || members.onAppendFailed(failed.append(), failed.mayTakeEffect(), now, effects);
        if (!handled) {
            claims.onAppendFailed(failed.append(), failed.mayTakeEffect(), now, effects);
        }
    }

    private void onVmList(List<Vm> vms, Instant now) {
        directory.replace(vms);
        members.onVmList(vms, now);
        grantOwner.onVmList(vms, now);
        grantHolder.onVmList(vms, now);
        placement.onVmList(vms, now);
    }

    private void onLoad(Event.LoadReported reported, Instant now) {
        grantOwner.onLoadReport(reported.upstream(), reported.report(), now, effects);
        placement.onLoadReport(reported.upstream(), reported.report(), now);
    }

    private void deliverClaimResults(Instant now) {
        for (ClaimResult result : claims.results()) {
            switch (result) {
                case ClaimResult.Acquired acquired -> dispatcher.onClaimAcquired(acquired.request(), now, effects);
                case ClaimResult.Recorded recorded ->
                    dispatcher.onClaimRecorded(
                            recorded.request(), recorded.code(), recorded.run(), recorded.output(), now, effects);
                case ClaimResult.Refused refused ->
                    dispatcher.onClaimRefused(refused.request(), refused.refusal(), now, effects);
            }
        }
    }

    private void reportReadiness(Instant now) {
        boolean ready = admissionRefusal(now).isEmpty() && !drain.started();
        members.ready(ready);
        if (reportedReady.isPresent() && reportedReady.get() == ready) {
            return;
        }
        reportedReady = Optional.of(ready);
        String reason = drain.started() ? "draining" : members.viewStatus(now).toString();
        effects.add(new Effect.ReadinessChanged(ready, reason));
    }

    private void advanceDrain(Instant now) {
        boolean idle = dispatcher.idle() && claims.idle();
        boolean leftRoster = !state.isMember(members.self());
        switch (drain.step(idle, leftRoster, now)) {
            case LEAVE -> members.leave(now, effects);
            case FINISHED -> reportDrainFinished();
            case SERVING, LEAVING_BALANCER, FINISHING -> {
                // Nothing to do until the next step.
            }
        }
    }

    private void reportDrainFinished() {
        if (!drainFinishedReported) {
            drainFinishedReported = true;
            effects.add(new Effect.DrainFinished());
        }
    }

    /** The control state of this node. */
    public ControlState state() {
        return state;
    }

    /** The other members of the roster and how far each has read the control stream. */
    public Members members() {
        return members;
    }

    /** The upstreams on the platform's VM list. */
    public List<Vm> upstreams() {
        return directory.upstreams();
    }

    /** An upstream on the platform's VM list. */
    public Optional<Vm> upstream(VmId id) {
        return directory.find(id);
    }

    /** The latest load report of an upstream that this node has. */
    public Optional<LoadReport> report(VmId id) {
        return grantHolder.report(id);
    }

    /** The grants of the upstreams. */
    public List<GrantView> grants(Instant now) {
        return grantHolder.view(now);
    }

    /** The requests in flight. */
    public List<FlowView> requests(Instant now) {
        return dispatcher.views(now);
    }
}
