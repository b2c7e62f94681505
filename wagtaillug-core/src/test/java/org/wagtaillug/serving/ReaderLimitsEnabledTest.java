package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtaillug.feed.RecordDecoder;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.load.ContentionReport;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/** Guards against limits of slow readers that take effect where they are off, or never, or more than once. */
class ReaderLimitsEnabledTest {
    private static final NodeId PEER = new NodeId(new VmId("node-2"), 1);
    private static final Instant NOW = Instant.ofEpochSecond(1);

    private static Serving serving(Contention contention, PolicyFeatures features) {
        RecordDecoder unused = (RecordDecoder) Proxy.newProxyInstance(
                RecordDecoder.class.getClassLoader(),
                new Class<?>[] {RecordDecoder.class},
                (proxy, method, arguments) -> {
                    throw new UnsupportedOperationException(method.getName());
                });
        return new Serving(ServingSetup.builder(new NodeId(new VmId("node-1"), 1), new DomainId("north"), unused)
                .startedAt(NOW)
                .contention(contention)
                .features(features)
                .build());
    }

    private static long enabled(List<ServingEffect> effects) {
        return effects.stream()
                .filter(ServingEffect.ReaderLimitsEnabled.class::isInstance)
                .count();
    }

    private static long enabledByTick(Serving serving) {
        return enabled(serving.handle(new ServingEvent.Tick(), NOW));
    }

    /** The heartbeat of a node to which an upstream has announced how long its work takes. */
    private static ServingEvent announcement() {
        ServingMessage.Heartbeat heartbeat =
                serving(Contention.OFF, PolicyFeatures.ALL)
                        .handle(new ServingEvent.PeerConnected(PEER.vm()), NOW)
                        .stream()
                        .filter(ServingEffect.SendToPeer.class::isInstance)
                        .map(effect -> (ServingMessage.Heartbeat) ((ServingEffect.SendToPeer) effect).message())
                        .findFirst()
                        .orElseThrow();
        ServingMessage.Heartbeat announcing = new ServingMessage.Heartbeat(
                heartbeat.reply(),
                heartbeat.serving(),
                heartbeat.follows(),
                heartbeat.storeLost(),
                heartbeat.positions(),
                heartbeat.waits(),
                heartbeat.rateLimits(),
                heartbeat.departures(),
                heartbeat.paths(),
                heartbeat.storesStreamOrigins(),
                heartbeat.quarantine(),
                new ContentionReport(true, true));
        return new ServingEvent.PeerMessageReceived(PEER, announcing);
    }

    @Test
    void theyTakeEffectAtOnceIfOn() {
        Serving serving = serving(Contention.ON, PolicyFeatures.ALL);
        assertThat(enabledByTick(serving)).isOne();
        assertThat(enabledByTick(serving)).isZero();
    }

    @Test
    void theyTakeEffectOnceAnnounced() {
        Serving serving = serving(Contention.ANNOUNCED, PolicyFeatures.ALL);
        assertThat(enabledByTick(serving)).isZero();
        assertThat(enabled(serving.handle(announcement(), NOW))).isOne();
        assertThat(enabledByTick(serving)).isZero();
    }

    @Test
    void theyTakeNoEffectWithoutTheFeature() {
        Serving off = serving(Contention.OFF, PolicyFeatures.ALL);
        Serving without = serving(Contention.ON, PolicyFeatures.without(List.of(PolicyFeature.READER_LIMITS)));
        for (Serving serving : List.of(off, without)) {
            assertThat(enabledByTick(serving)).isZero();
            assertThat(enabled(serving.handle(announcement(), NOW))).isZero();
        }
    }
}
