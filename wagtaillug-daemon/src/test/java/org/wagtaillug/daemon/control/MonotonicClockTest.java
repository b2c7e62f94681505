package org.wagtaillug.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class MonotonicClockTest {
    private static final Instant START = Instant.parse("2026-12-01T08:00:00Z");

    private final AtomicReference<Instant> wall = new AtomicReference<>(START);
    private final AtomicLong nanos = new AtomicLong(7);
    private final InstantSource source = wall::get;
    private final Clock wallClock = source.withZone(ZoneOffset.UTC);
    private final MonotonicClock clock = new MonotonicClock(wallClock, nanos::get);

    private void pass(Duration onWall, Duration onMonotonic) {
        wall.set(wall.get().plus(onWall));
        nanos.addAndGet(onMonotonic.toNanos());
    }

    @Test
    void aWallClockThatIsSetBackDoesNotProlongALease() {
        pass(Duration.ofHours(-1), Duration.ofSeconds(2));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(2));
    }

    @Test
    void aVmThatWasSuspendedFindsItsLeasesOver() {
        // The VM stands still for a minute and its monotonic clock with it; elsewhere its upstreams have a new owner. A
        // clock that went on from where it stopped would let it grant for the rest of its lease.
        pass(Duration.ofSeconds(61), Duration.ofSeconds(1));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(61));
        pass(Duration.ofSeconds(1), Duration.ofSeconds(1));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(62));
    }

    @Test
    void aWallClockThatIsSlewedChangesNothing() {
        pass(Duration.ofMillis(10_900), Duration.ofSeconds(10));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(10));
    }
}
