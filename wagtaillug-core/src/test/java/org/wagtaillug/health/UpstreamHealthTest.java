package org.wagtaillug.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;

class UpstreamHealthTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final PoolId POOL = new PoolId("rerank");
    private static final VmId ID = new VmId("rerank-1");
    private static final Vm UPSTREAM =
            new Vm(ID, Optional.of(POOL), new DomainId("a"), new RegionId("r"), "127.0.0.1", 1, false);

    private final UpstreamHealth health = new UpstreamHealth();

    @Property(tries = 300, seed = "4712")
    void quantileCoversTheLast256Durations(
            @ForAll @Size(min = 1, max = 600) List<@IntRange(max = 50) Integer> durations,
            @ForAll @IntRange(min = 1, max = 100) int percent) {
        LatencyWindow window = new LatencyWindow();
        for (int nanos : durations) {
            window.add(Duration.ofNanos(nanos));
        }
        List<Integer> last = new ArrayList<>(
                durations.subList(Math.max(0, durations.size() - LatencyWindow.SIZE), durations.size()));
        last.sort(null);
        int rank = Math.max(1, (int) Math.ceil(percent / 100.0 * last.size()));
        assertThat(window.quantile(percent / 100.0)).contains(Duration.ofNanos(last.get(rank - 1)));
    }

    @Test
    void suspendsForTwiceAsLongAfterEachFurtherFailure() {
        health.onEnded(UPSTREAM, Duration.ofMillis(1), false, NOW);
        assertThat(health.usable(ID, NOW)).isTrue();
        health.onEnded(UPSTREAM, Duration.ofMillis(1), false, NOW);
        assertThat(health.usable(ID, NOW.plusMillis(249))).isFalse();
        assertThat(health.usable(ID, NOW.plusMillis(250))).isTrue();
        health.onEnded(UPSTREAM, Duration.ofMillis(1), false, NOW);
        assertThat(health.usable(ID, NOW.plusMillis(499))).isFalse();
        for (int i = 0; i < 100; i++) {
            health.onEnded(UPSTREAM, Duration.ofMillis(1), false, NOW);
        }
        assertThat(health.usable(ID, NOW.plusSeconds(8))).isTrue();
        health.onEnded(UPSTREAM, Duration.ofMillis(1), true, NOW);
        assertThat(health.usable(ID, NOW)).isTrue();
    }

    @Test
    void weightsTheLatestDurationMost() {
        assertThat(health.expected(ID)).isEmpty();
        health.onEnded(UPSTREAM, Duration.ofMillis(100), true, NOW);
        health.onEnded(UPSTREAM, Duration.ofMillis(200), true, NOW);
        assertThat(health.expected(ID)).contains(Duration.ofMillis(120));
        assertThat(health.tail(POOL, 0.95)).contains(Duration.ofMillis(200));
    }

    /**
     * Guards against requests that hang until their deadline on a half-open connection although the engine is healthy: a device
     * on the path has dropped the connection's state, and only the lack of progress reveals it.
     */
    @Test
    void anAttemptWithoutProgressCountsAsStalled() {
        Optional<Duration> tail = Optional.of(Duration.ofMillis(400));
        assertThat(UpstreamHealth.stalled(NOW, Optional.empty(), tail, NOW.plusMillis(1199)))
                .isFalse();
        assertThat(UpstreamHealth.stalled(NOW, Optional.empty(), tail, NOW.plusMillis(1200)))
                .isTrue();
        Optional<Instant> progress = Optional.of(NOW.plusMillis(1000));
        assertThat(UpstreamHealth.stalled(NOW, progress, tail, NOW.plusMillis(2199)))
                .isFalse();
        assertThat(UpstreamHealth.stalled(NOW, Optional.empty(), Optional.empty(), NOW.plusSeconds(60)))
                .isFalse();
    }
}
