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
import org.wagtaillug.daemon.administration.PendingChanges;
import org.wagtaillug.daemon.callers.CallerExchange;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.control.MonotonicClock;
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

/** Carries out the node's effects. Runs on the control thread and blocks on nothing. */
final class EffectRunner implements Consumer<Effect> {
    private static final Logger LOGGER = System.getLogger(EffectRunner.class.getName());

    private final Parts parts;
    private final Node node;
    private final Map<AttemptId, Started> attempts = new ConcurrentHashMap<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean ready;

    /** What effects are carried out with. */
    record Parts(
            Exchanges exchanges,
            AttemptSender sender,
            PlatformClient platform,
            PeerLink link,
            PendingChanges pending,
            DecisionLog decisions,
            NodeMetrics metrics,
            MonotonicClock clock) {}

    private record Started(Attempt attempt, Instant at) {}

    EffectRunner(Parts parts, Node node) {
        this.parts = parts;
        this.node = node;
    }

    /** Whether the balancer may send requests here. */
    boolean ready() {
        return ready;
    }

    /** Reached when the node has finished all that it had begun. */
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
                measureControl();
            }
            case Effect.RequestLoad ask -> upstream(ask.upstream(), parts.platform()::askLoad);
            case Effect.SendOrder order ->
                upstream(order.upstream(), vm -> parts.platform().order(vm, order));
            case Effect.ChangeAccepted accepted -> parts.pending().accepted(accepted.changeId(), accepted.offset());
            case Effect.ChangeRefused refused -> parts.pending().refused(refused.changeId(), refused.refusal());
            case Effect.ReadinessChanged changed -> readiness(changed);
            case Effect.LogDecision log -> decide(log);
            case Effect.DrainFinished ignored -> drained.countDown();
        }
    }

    /** Notes what control has cost; comes with the regular reading of the VM list, and so on the control thread. */
    private void measureControl() {
        LinkCounters link = parts.link().counters();
        long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        parts.metrics().control(node.state().through(), cpuNanos, link.bytesIn() + link.bytesOut());
    }

    private void start(Attempt attempt) {
        attempts.put(attempt.id(), new Started(attempt, parts.clock().now()));
        parts.sender().start(attempt);
    }

    /** Notes what an attempt cost; called with each event on its way to the control thread. */
    void observe(Event event) {
        if (!(event instanceof Event.AttemptEnded ended)) {
            return;
        }
        Started started = attempts.remove(ended.attempt());
        if (started != null) {
            Duration took = Duration.between(started.at(), parts.clock().now());
            parts.metrics().attempted(started.attempt(), ended.end(), took);
        }
    }

    private void serve(Effect.AnswerServed served) {
        parts.exchanges().take(served.request()).ifPresent(exchange -> {
            count(exchange, ResultCode.SERVED, "run");
            exchange.served(served.templateVersion(), served.output());
        });
    }

    private void refuse(Effect.AnswerRefused refused) {
        parts.exchanges().take(refused.request()).ifPresent(exchange -> {
            count(exchange, refused.refusal().code(), refused.refusal().run().text());
            exchange.refused(refused.templateVersion(), refused.refusal());
        });
    }

    private void count(CallerExchange exchange, ResultCode code, String run) {
        Duration took = Duration.between(exchange.arrivedAt(), parts.clock().now());
        String customer = exchange.request().customer().value();
        String template = exchange.request().template().value();
        parts.metrics().answered(customer, template, code, run, took);
    }

    private void upstream(VmId id, Consumer<Vm> action) {
        node.upstream(id).ifPresent(action);
    }

    private void readiness(Effect.ReadinessChanged changed) {
        ready = changed.ready();
        parts.metrics().ready(changed.ready());
        LOGGER.log(Level.INFO, "ready: {0} ({1})", changed.ready(), changed.reason());
    }

    private void decide(Effect.LogDecision log) {
        parts.metrics().decided(log.decision().kind());
        parts.decisions().write(log.decision(), parts.clock().now());
    }
}
