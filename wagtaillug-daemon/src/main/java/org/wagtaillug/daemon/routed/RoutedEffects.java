package org.wagtaillug.daemon.routed;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wagtaillug.daemon.translation.Translation;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.serving.ServingEffect;
import org.wagtaillug.serving.ServingEvent;

/** Carries out the effects of a node. Runs on the control thread and blocks on nothing. */
final class RoutedEffects implements Consumer<ServingEffect> {
    private static final Logger LOGGER = System.getLogger(RoutedEffects.class.getName());

    private final Parts parts;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean ready;

    /** What effects are carried out with. */
    record Parts(
            RoutedExchanges exchanges,
            RoutedHandler handler,
            Runnable closeIdleConnections,
            UpstreamCaller upstreams,
            BatchCaller pieces,
            Translation translation,
            PeerLink link,
            int linkPort,
            DomainId domain,
            Consumer<ServingEvent> events,
            DecisionLines decisions,
            RoutedMetrics metrics,
            Supplier<Instant> clock) {}

    RoutedEffects(Parts parts) {
        this.parts = parts;
    }

    /** Whether the balancer may send new connections. */
    boolean ready() {
        return ready;
    }

    /** Reached when everything that was begun is finished. */
    CountDownLatch drained() {
        return drained;
    }

    @Override
    public void accept(ServingEffect effect) {
        switch (effect) {
            case ServingEffect.Send send -> parts.upstreams().send(send.order());
            case ServingEffect.CancelSend giveUp -> parts.upstreams().giveUp(giveUp.request(), giveUp.attempt());
            case ServingEffect.Refuse refuse ->
                parts.exchanges().find(refuse.request()).ifPresent(exchange -> exchange.refuse(refuse.refusal()));
            case ServingEffect.ForwardFailure pass ->
                parts.exchanges().find(pass.request()).ifPresent(RoutedExchange::passFailure);
            case ServingEffect.Cut cut -> parts.exchanges().find(cut.request()).ifPresent(RoutedExchange::cut);
            case ServingEffect.Finished finished -> finish(finished);
            case ServingEffect.CallBatch call -> parts.pieces().call(call.call());
            case ServingEffect.ReleaseResults release -> parts.pieces().release(release);
            case ServingEffect.SendToPeer send -> parts.link().send(send.receiver(), send.message());
            case ServingEffect.PeersChanged changed -> connect(changed);
            case ServingEffect.ReadFeed read ->
                parts.translation().feeds().read(read.feed(), read.read(), parts.events());
            case ServingEffect.WriteRecord write ->
                parts.translation()
                        .feeds()
                        .write(write.feed(), write.key(), write.value(), write.expectedEnd(), parts.events());
            case ServingEffect.LimitsChanged changed -> parts.handler().limits(changed.limits());
            case ServingEffect.ReadinessChanged changed -> readiness(changed);
            case ServingEffect.LogDecision log -> {
                parts.metrics().decided(log.decision().kind());
                parts.decisions().add(log.decision(), parts.clock().get());
            }
            case ServingEffect.CloseIdleConnections ignored ->
                parts.closeIdleConnections().run();
            case ServingEffect.DrainFinished ignored -> drained.countDown();
        }
    }

    private void finish(ServingEffect.Finished finished) {
        Optional<RoutedExchange> exchange = parts.exchanges().remove(finished.request());
        if (finished.outcome() == ServingEffect.Outcome.LEFT) {
            exchange.ifPresent(RoutedExchange::abandon);
        }
        parts.metrics().finished(finished.route(), finished.outcome(), finished.took());
    }

    /** A node is named by its address, and all nodes listen for one another on the same port. */
    private void connect(ServingEffect.PeersChanged changed) {
        Map<VmId, NodeAddress> addresses = new HashMap<>();
        for (VmId peer : changed.peers()) {
            addresses.put(peer, new NodeAddress(peer.value(), parts.linkPort(), parts.domain()));
        }
        parts.link().seeds(addresses);
    }

    private void readiness(ServingEffect.ReadinessChanged changed) {
        ready = changed.ready();
        if (!ready) {
            LOGGER.log(Level.INFO, "not ready: {0}", changed.reason());
            return;
        }
        LOGGER.log(Level.INFO, "ready: {0}", changed.reason());
    }
}
