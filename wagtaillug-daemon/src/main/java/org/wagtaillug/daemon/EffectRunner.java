package org.wagtaillug.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.daemon.administration.PendingChanges;
import org.wagtaillug.daemon.callers.CallerExchange;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.metrics.NodeMetrics;
import org.wagtaillug.daemon.platform.PlatformClient;
import org.wagtaillug.daemon.upstream.AttemptSender;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.LinkCounters;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.result.ResultCode;

/** Carries out the effects of the node. Runs on the control thread and never blocks. */
final class EffectRunner implements Consumer<Effect> {
    private static final Logger LOGGER = System.getLogger(EffectRunner.class.getName());

    private final Parts parts;
    private final Node node;
    private final Map<AttemptId, StartedAttempt> attempts = new ConcurrentHashMap<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean ready;

    /** The components that carry out the effects. */
    record Parts(
            Exchanges exchanges,
            AttemptSender sender,
            PlatformClient platform,
            PeerLink link,
            PendingChanges pending,
            DecisionLog decisions,
            NodeMetrics metrics,
            LeaseClock clock) {}

    private record StartedAttempt(Attempt attempt, Instant startedAt) {}

    EffectRunner(Parts parts, Node node) {
        this.parts = parts;
        this.node = node;
    }

    /** Whether the load balancer may send requests to this node. */
    boolean ready() {
        return ready;
    }

    /** Reaches zero when the node has finished all accepted work. */
    CountDownLatch drained() {
        return drained;
    }

    @Override
    public void accept(Effect effect) {
        switch (effect) {
            case Effect.StartAttempt start -> start(start.attempt());
            case Effect.CancelAttempt cancel -> parts.sender().cancel(cancel.attempt());
            case Effect.AnswerServed served -> serve(served);
            case Effect.AnswerRefused refused -> refuse(refused);
            case Effect.SendToPeer send -> parts.link().send(send.receiver(), send.message());
            case Effect.PeersChanged changed -> parts.link().peers(changed.peers());
            case Effect.ReadLog read -> parts.platform().readLog(read);
            case Effect.AppendToLog append -> parts.platform().append(append);
            case Effect.ReadVmList ignored -> {
                parts.platform().readVmList();
                recordControlCost();
            }
            case Effect.RequestLoad request -> withUpstream(request.upstream(), parts.platform()::requestLoad);
            case Effect.SendOrder order ->
                withUpstream(order.upstream(), vm -> parts.platform().sendOrder(vm, order));
            case Effect.ChangeAccepted accepted -> parts.pending().accepted(accepted.changeId(), accepted.offset());
            case Effect.ChangeRefused refused -> parts.pending().refused(refused.changeId(), refused.refusal());
            case Effect.ReadinessChanged changed -> updateReadiness(changed);
            case Effect.LogDecision log -> logDecision(log);
            case Effect.DrainFinished ignored -> drained.countDown();
        }
    }

    /**
     * Records the cost of control. Called with the periodic read of the VM list, and therefore on the control thread.
     */
    private void recordControlCost() {
        LinkCounters link = parts.link().counters();
        long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        parts.metrics().recordControl(node.state().through(), cpuNanos, link.bytesIn() + link.bytesOut());
    }

    private void start(Attempt attempt) {
        attempts.put(attempt.id(), new StartedAttempt(attempt, parts.clock().now()));
        parts.sender().start(attempt);
    }

    /** Records the duration of an attempt; called with each event before it is passed to the control thread. */
    void observe(Event event) {
        if (!(event instanceof Event.AttemptEnded ended)) {
            return;
        }
        StartedAttempt started = attempts.remove(ended.attempt());
        if (started != null) {
            Duration took = Duration.between(started.startedAt(), parts.clock().now());
            parts.metrics().recordAttempt(started.attempt(), ended.end(), took);
        }
    }

    private void serve(Effect.AnswerServed served) {
        parts.exchanges().remove(served.request()).ifPresent(exchange -> {
            recordAnswer(exchange, ResultCode.SERVED, "run");
            exchange.served(served.templateVersion(), served.output());
        });
    }

    private void refuse(Effect.AnswerRefused refused) {
        parts.exchanges().remove(refused.request()).ifPresent(exchange -> {
            recordAnswer(
                    exchange, refused.refusal().code(), refused.refusal().run().text());
            exchange.refused(refused.templateVersion(), refused.refusal());
        });
    }

    private void recordAnswer(CallerExchange exchange, ResultCode code, String run) {
        Duration took = Duration.between(exchange.arrivedAt(), parts.clock().now());
        String customer = exchange.request().customer().value();
        String template = exchange.request().template().value();
        parts.metrics().recordAnswer(customer, template, code, run, took);
    }

    private void withUpstream(VmId id, Consumer<Vm> action) {
        node.upstream(id).ifPresent(action);
    }

    private void updateReadiness(Effect.ReadinessChanged changed) {
        ready = changed.ready();
        parts.metrics().setReady(changed.ready());
        LOGGER.log(Level.INFO, "ready: {0} ({1})", changed.ready(), changed.reason());
    }

    private void logDecision(Effect.LogDecision log) {
        parts.metrics().recordDecision(log.decision().kind());
        parts.decisions().write(log.decision(), parts.clock().now());
    }
}
