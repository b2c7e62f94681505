package org.wagtaillug.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.directory.Upstream;
import org.wagtaillug.directory.UpstreamDirectory;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;

class ReachabilityTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId MODEL = new PoolId("model");
    private static final PoolId ORDERS = new PoolId("orders");
    private static final Duration LONG_AFTER = Duration.ofSeconds(10);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Reachability reachability = new Reachability(directory);
    private Instant now = START;

    @BeforeEach
    void list() {
        for (int number = 1; number <= 4; number++) {
            register("model-" + number, MODEL);
        }
        register("orders-1", ORDERS);
        reachability.onConnected(upstream("model-1"), now);
        now = now.plus(LONG_AFTER);
    }

    private void register(String id, PoolId pool) {
        Listing listing =
                new Listing(new VmId(id), 1, pool, "10.0.0.1", 80, new DomainId("north"), false, Duration.ZERO, "");
        directory.onListing(listing, START);
    }

    private Upstream upstream(String id) {
        return directory.find(new VmId(id)).orElseThrow();
    }

    private static List<VmId> ids(String... names) {
        return List.of(names).stream().map(VmId::new).toList();
    }

    private void lose(PoolId pool) {
        for (Upstream upstream : directory.usable(pool)) {
            reachability.onFailed(upstream, now);
        }
    }

    @Test
    void aFailureIsFollowedByProbesOfOtherUpstreams() {
        assertThat(reachability.probesDue(now)).isEmpty();
        reachability.onFailed(upstream("model-2"), now);
        assertThat(reachability.probesDue(now)).containsExactlyElementsOf(ids("model-1", "model-3"));
        assertThat(reachability.probesDue(now)).isEmpty();
    }

    /** Guards against taking failed upstreams for a lost path. */
    @Test
    void aSuccessInBetweenShowsThatThePathWorks() {
        reachability.onFailed(upstream("model-1"), now);
        reachability.onFailed(upstream("model-2"), now);
        reachability.onConnected(upstream("model-3"), now);
        assertThat(reachability.onFailed(upstream("model-4"), now)).isFalse();
        assertThat(reachability.unreachable(MODEL)).isFalse();
        assertThat(reachability.suspect(MODEL)).isFalse();
    }

    /** Guards against connections from before the partition that still answer and seem to show a path. */
    @Test
    void anAnswerOverAnEarlierConnectionIsNoSignOfAPath() {
        lose(MODEL);
        assertThat(reachability.unreachable(MODEL)).isTrue();
        assertThat(reachability.onConnected(upstream("model-1"), now.minusMillis(1)))
                .isFalse();
        assertThat(reachability.unreachable(MODEL)).isTrue();
        assertThat(reachability.onConnected(upstream("model-1"), now)).isTrue();
        assertThat(reachability.unreachable(MODEL)).isFalse();
    }

    @Test
    void aLostPoolIsProbedUntilItIsBackAndOtherPoolsOnce() {
        lose(MODEL);
        assertThat(reachability.probesDue(now)).contains(new VmId("orders-1")).hasSize(2);
        now = now.plus(LONG_AFTER);
        assertThat(reachability.probesDue(now)).hasSize(1).allMatch(id -> id.value()
                .startsWith("model-"));
        reachability.onConnected(upstream("model-2"), now);
        now = now.plus(LONG_AFTER);
        assertThat(reachability.probesDue(now)).isEmpty();
    }

    @Test
    void thePoolOfASingleUpstreamIsLostAfterSeveralFailures() {
        assertThat(reachability.onFailed(upstream("orders-1"), now)).isFalse();
        assertThat(reachability.onFailed(upstream("orders-1"), now)).isFalse();
        assertThat(reachability.onFailed(upstream("orders-1"), now)).isTrue();
        assertThat(reachability.unreachablePools()).containsExactly(ORDERS);
    }

    /** Guards against a pool that stays unreachable although the upstreams that failed are gone. */
    @Test
    void aPoolIsNotUnreachableForUpstreamsThatAreGone() {
        lose(ORDERS);
        lose(ORDERS);
        lose(ORDERS);
        long changes = reachability.changes();
        directory.onRemoved(new VmId("orders-1"), now, now);
        reachability.probesDue(now);
        assertThat(reachability.unreachable(ORDERS)).isFalse();
        assertThat(reachability.changes()).isGreaterThan(changes);
    }
}
