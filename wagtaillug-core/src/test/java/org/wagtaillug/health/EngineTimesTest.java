package org.wagtaillug.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.PoolId;

class EngineTimesTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId POOL = new PoolId("model");

    private final EngineTimes times = new EngineTimes();

    @Test
    void thereIsNoEstimateWithoutEnoughSamples() {
        for (int each = 0; each < 7; each++) {
            times.onFirstEvent(POOL, 1000, Duration.ofMillis(100), START);
        }
        assertThat(times.shortest(POOL, START)).isEmpty();
        assertThat(times.expected(POOL, 1000, START)).isEmpty();
    }

    @Test
    void longerPromptsAreExpectedToTakeLonger() {
        for (int each = 0; each < 20; each++) {
            int tokens = 500 + 1000 * each;
            times.onFirstEvent(POOL, tokens, Duration.ofMillis(100 + tokens / 50), START);
        }
        assertThat(times.shortest(POOL, START)).contains(Duration.ofMillis(110));
        assertThat(times.expected(POOL, 10_000, START).orElseThrow())
                .isBetween(Duration.ofMillis(280), Duration.ofMillis(320));
    }

    @Test
    void oldSamplesExpire() {
        for (int each = 0; each < 20; each++) {
            times.onFirstEvent(POOL, 1000, Duration.ofMillis(100), START);
        }
        assertThat(times.shortest(POOL, START.plusSeconds(59))).isPresent();
        assertThat(times.shortest(POOL, START.plusSeconds(61))).isEmpty();
    }
}
