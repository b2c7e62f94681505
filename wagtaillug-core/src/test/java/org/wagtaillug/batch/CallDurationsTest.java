package org.wagtaillug.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtaillug.route.BatchContract;

/** The contract says 275 ms for a full call of 97 items; the servers take 345 ms. Small calls are as configured. */
class CallDurationsTest {
    private static final BatchContract CONTRACT =
            new BatchContract(1, 97, Duration.ofMillis(150), Duration.ofNanos(1_288_660), 1000, Duration.ofSeconds(4));

    private final CallDurations durations = new CallDurations();
    private final Random random = new Random(1);

    private void call(int items, double factor) {
        double millis = (150 + items * 2.01) * factor * (0.97 + 0.06 * random.nextDouble());
        durations.onCall(CONTRACT, items, Duration.ofNanos(Math.round(millis * 1e6)));
    }

    private double millis(int items) {
        return durations.expected(CONTRACT, items).toNanos() / 1e6;
    }

    /** Guards against estimates that stay with the contract, or change with a handful of calls. */
    @Test
    void followsWhatIsObserved() {
        call(97, 5);
        assertThat(durations.known()).isFalse();
        assertThat(durations.expected(CONTRACT, 97)).isEqualTo(CONTRACT.callOf(97));
        for (int each = 0; each < 40; each++) {
            call(1 + random.nextInt(30), 1);
            call(60 + random.nextInt(38), 1);
        }
        assertThat(millis(97)).isBetween(330.0, 360.0);
        assertThat(millis(1)).isBetween(140.0, 165.0);
    }

    /** Guards against a few slow servers that make the whole pool look slow. */
    @Test
    void slowServersDoNotCount() {
        for (int each = 0; each < 200; each++) {
            double factor = random.nextDouble() < 0.25 ? 2.5 : 1;
            call(random.nextBoolean() ? 1 + random.nextInt(30) : 97, factor);
        }
        assertThat(millis(97)).isBetween(325.0, 380.0);
    }

    /** Guards against small calls that look long because only full ones were observed. */
    @Test
    void oneSizeScalesTheContract() {
        for (int each = 0; each < 100; each++) {
            call(97, 1);
        }
        assertThat(millis(97)).isBetween(330.0, 360.0);
        assertThat(millis(1)).isLessThan(200);
    }
}
