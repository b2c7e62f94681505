package org.wagtaillug.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SteadyClockTest {
    private static final Instant START = Instant.parse("2026-12-01T08:00:00Z");

    private final AtomicReference<Instant> wall = new AtomicReference<>(START);
    private final AtomicLong nanos = new AtomicLong(7);
    private final SteadyClock clock = new SteadyClock(((InstantSource) wall::get).withZone(ZoneOffset.UTC), nanos::get);
    private final WallClockMonitor monitor = new WallClockMonitor(clock);

    private void advance(Duration onWall, Duration onMonotonic) {
        wall.set(wall.get().plus(onWall));
        nanos.addAndGet(onMonotonic.toNanos());
    }

    /** Guards against pauses and windows that end early, or late, as the wall clock is set. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -2_000, 2_000, 9_500, 3_600_000})
    void aWallClockThatIsSetChangesNothing(long stepMillis) {
        advance(Duration.ofMillis(2_000 + stepMillis), Duration.ofSeconds(2));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(2));
        assertThat(clock.wallOffset()).isEqualTo(Duration.ofMillis(stepMillis));
    }

    @Test
    void eachChangeOfTheWallClockIsReportedOnce() {
        assertThat(monitor.pollChange()).isEmpty();
        advance(Duration.ofSeconds(11), Duration.ofSeconds(1));
        assertThat(monitor.pollChange()).contains(Duration.ofSeconds(10));
        assertThat(monitor.pollChange()).isEmpty();
        advance(Duration.ofSeconds(-9), Duration.ofSeconds(1));
        assertThat(monitor.pollChange()).contains(Duration.ZERO);
    }

    @Test
    void aWallClockThatDriftsIsReportedOnceItIsFarOff() {
        advance(Duration.ofMillis(10_090), Duration.ofSeconds(10));
        assertThat(monitor.pollChange()).isEmpty();
        advance(Duration.ofMillis(10_090), Duration.ofSeconds(10));
        assertThat(monitor.pollChange()).contains(Duration.ofMillis(180));
    }
}
