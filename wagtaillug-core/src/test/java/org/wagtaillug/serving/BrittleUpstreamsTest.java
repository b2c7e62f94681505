package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Upstreams that fail when they have to reject too many requests for lack of room. */
class BrittleUpstreamsTest {
    private static final Duration CONTACT = Duration.ofSeconds(3);
    private static final int FIXED_FAILURES = 2;
    private static final int FAILURES_PER = 10;

    /** Guards against nodes that together overload an upstream by requests that it has to reject. */
    @ParameterizedTest
    @CsvSource({
        "9, 3, 6, 43, 5, 60, 1",
        "9, 3, 6, 43, 5, 300, 2",
        "9, 3, 6, 200, 3, 120, 3",
        "9, 8, 64, 400, 5, 200, 4",
        "3, 2, 6, 100, 1, 100, 5",
        "30, 3, 6, 43, 5, 300, 6",
        "60, 6, 6, 100, 4, 400, 7"
    })
    void brittleUpstreamsRarelyFail(
            int nodes, int upstreams, int slots, int workMillis, double maxRejections, double rate, long seed) {
        BrittleFleet fleet = new BrittleFleet(nodes, upstreams, slots, Duration.ofMillis(workMillis), seed);
        fleet.run(Duration.ofSeconds(4), rate);
        fleet.announce(maxRejections);
        fleet.run(CONTACT, rate);
        fleet.shrink();
        fleet.run(Duration.ofSeconds(15), rate);
        assertThat(fleet.failures()).isLessThanOrEqualTo(FIXED_FAILURES + upstreams / FAILURES_PER);
        assertThat(fleet.servedShare()).isPositive();
    }
}
