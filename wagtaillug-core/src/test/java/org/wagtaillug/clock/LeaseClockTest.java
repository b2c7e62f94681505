package org.wagtaillug.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class LeaseClockTest {
    private static final Instant START = Instant.parse("2026-12-01T08:00:00Z");

    private final AtomicReference<Instant> wall = new AtomicReference<>(START);
    private final AtomicLong nanos = new AtomicLong(7);
    private final InstantSource source = wall::get;
    private final Clock wallClock = source.withZone(ZoneOffset.UTC);
    private final LeaseClock clock = new LeaseClock(wallClock, nanos::get);

    private void advance(Duration onWall, Duration onMonotonic) {
        wall.set(wall.get().plus(onWall));
        nanos.addAndGet(onMonotonic.toNanos());
    }

    @Test
    void aWallClockThatIsSetBackDoesNotProlongALease() {
        advance(Duration.ofHours(-1), Duration.ofSeconds(2));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(2));
    }

    @Test
    void leasesExpireWhileTheVmIsSuspended() {
        // The VM is suspended for a minute and its monotonic clock stops; meanwhile its upstreams get another owner.
        // Guards against a clock that continues where it stopped, by which the VM would grant for the rest of its
        // lease.
        advance(Duration.ofSeconds(61), Duration.ofSeconds(1));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(61));
        advance(Duration.ofSeconds(1), Duration.ofSeconds(1));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(62));
    }

    @Test
    void aSlewedWallClockIsIgnored() {
        advance(Duration.ofMillis(10_900), Duration.ofSeconds(10));
        assertThat(clock.now()).isEqualTo(START.plusSeconds(10));
    }
}
