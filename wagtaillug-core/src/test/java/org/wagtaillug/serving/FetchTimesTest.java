package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.id.PoolId;

class FetchTimesTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");

    private final EngineTimes engines = new EngineTimes();
    private final FetchTimes times = new FetchTimes(engines);

    private void recordFirstEvents(int count) {
        for (int each = 0; each < count; each++) {
            engines.onFirstEvent(POOL, 1000, Duration.ofMillis(120 + each), NOW);
            times.onFirstEvent(POOL);
        }
    }

    @Test
    void inputsAreHeldUntilTheFirstEventWithoutMeasurements() {
        assertThat(times.releaseDelay(POOL, NOW)).isEmpty();
        recordFirstEvents(8);
        assertThat(times.releaseDelay(POOL, NOW)).contains(Duration.ofMillis(120));
    }

    @Test
    void aMissingInputDoublesTheDelayUntilNoneIsMissing() {
        // Engines with a queue fetch inputs later than the fastest one answered. Without doubling, request after
        // request would find its inputs missing, and all steps would be repeated.
        recordFirstEvents(8);
        times.onInputMissing(POOL);
        assertThat(times.releaseDelay(POOL, NOW)).contains(Duration.ofMillis(240));
        times.onInputMissing(POOL);
        assertThat(times.releaseDelay(POOL, NOW)).contains(Duration.ofMillis(480));
        recordFirstEvents(32);
        assertThat(times.releaseDelay(POOL, NOW)).contains(Duration.ofMillis(240));
        recordFirstEvents(64);
        assertThat(times.releaseDelay(POOL, NOW)).contains(Duration.ofMillis(120));
    }
}
