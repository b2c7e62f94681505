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
import org.wagtaillug.daemon.tunnel.TunnelServer;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.link.PeerLink;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.serving.ServingEffect;
import org.wagtaillug.serving.ServingEvent;

/** Carries out the effects of a node. Runs on the control thread and never blocks. */
final class RoutedEffects implements Consumer<ServingEffect> {
    private static final Logger LOGGER = System.getLogger(RoutedEffects.class.getName());

    private final Parts parts;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean ready;

    /** The components that carry out the effects. */
    record Parts(
            RoutedExchanges exchanges,
            RoutedHandler handler,
            Runnable closeIdleConnections,
            UpstreamCaller upstreams,
            UpstreamProber prober,
            BatchCaller batches,
            Translation translation,
            PeerLink link,
            TunnelServer tunnels,
            int linkPort,
            DomainId domain,
            Consumer<ServingEvent> events,
            AsyncDecisionLog decisions,
            RoutedMetrics metrics,
            ReaderLimits readerLimits,
            Supplier<Instant> clock) {}

    RoutedEffects(Parts parts) {
        this.parts = parts;
    }

    /** Whether the load balancer may open new connections to this node. */
    boolean ready() {
        return ready;
    }

    /** Reaches zero when all accepted work is finished. */
    CountDownLatch drained() {
        return drained;
    }

    @Override
    public void accept(ServingEffect effect) {
        switch (effect) {
            case ServingEffect.Send send -> parts.upstreams().send(send.order());
            case ServingEffect.CancelSend cancel -> parts.upstreams().cancel(cancel.request(), cancel.attempt());
            case ServingEffect.Refuse refuse ->
                parts.exchanges().find(refuse.request()).ifPresent(exchange -> exchange.refuse(refuse.refusal()));
            case ServingEffect.ForwardFailure forward ->
                parts.exchanges().find(forward.request()).ifPresent(RoutedExchange::forwardFailure);
            case ServingEffect.Cut cut -> parts.exchanges().find(cut.request()).ifPresent(RoutedExchange::cut);
            case ServingEffect.Finished finished -> finish(finished);
            case ServingEffect.CallBatch call -> parts.batches().call(call.call());
            case ServingEffect.ReleaseResults release -> parts.batches().release(release);
            case ServingEffect.ProbeUpstream probe -> parts.prober().probe(probe.upstream());
            case ServingEffect.OpenTunnel open -> parts.tunnels().open(open.number(), open.upstream());
            case ServingEffect.RefuseTunnel refuse -> parts.tunnels().refuse(refuse.number());
            case ServingEffect.SendToPeer send -> parts.link().send(send.receiver(), send.message());
            case ServingEffect.PeersChanged changed -> connectPeers(changed);
            case ServingEffect.ReadFeed read ->
                parts.translation().feeds().read(read.feed(), read.read(), parts.events());
            case ServingEffect.WriteRecord write ->
                parts.translation()
                        .feeds()
                        .write(write.feed(), write.key(), write.value(), write.expectedEnd(), parts.events());
            case ServingEffect.LimitsChanged changed -> parts.handler().limits(changed.limits());
            case ServingEffect.ReaderLimitsEnabled ignored ->
                parts.readerLimits().enable();
            case ServingEffect.ReadinessChanged changed -> updateReadiness(changed);
            case ServingEffect.CountAssignment counted ->
                parts.metrics().recordAssignment(counted.pool(), counted.event());
            case ServingEffect.LogDecision log -> {
                parts.metrics().recordDecision(log.decision());
                parts.decisions().add(log.decision(), parts.clock().get());
            }
            case ServingEffect.LoadObserved observed -> parts.metrics().recordLoad(observed);
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
        parts.metrics().recordRequest(finished.route(), finished.outcome(), finished.took());
    }

    /** The id of a node is its address, and all nodes use the same link port. */
    private void connectPeers(ServingEffect.PeersChanged changed) {
        Map<VmId, NodeAddress> addresses = new HashMap<>();
        for (VmId peer : changed.peers()) {
            addresses.put(peer, new NodeAddress(peer.value(), parts.linkPort(), parts.domain()));
        }
        parts.link().seeds(addresses);
    }

    private void updateReadiness(ServingEffect.ReadinessChanged changed) {
        ready = changed.ready();
        if (!ready) {
            LOGGER.log(Level.INFO, "not ready: {0}", changed.reason());
            return;
        }
        LOGGER.log(Level.INFO, "ready: {0}", changed.reason());
    }
}
