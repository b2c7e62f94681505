package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClaimsRandomTest {
    /** More runs: {@code -Dwagtaillug.runs=10000}. */
    private static final int RUNS = Integer.getInteger("wagtaillug.runs", 1_000);

    /**
     * Guards against running a request twice when its caller got no answer, or "not run", and retried at another node
     * while the first attempt was still in flight: its node paused or crashed, the acknowledgement of its claim lost,
     * or its claim delayed.
     */
    @Test
    void noKeyRunsTwiceAndNotRunIsTrue() {
        long acquired = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            try {
                acquired += new ClaimsSimulation(seed).simulate();
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
            }
        }
        System.out.println("claims: " + RUNS + " seeded runs, " + acquired + " wins, no key ran twice");
        assertThat(acquired).isGreaterThan(RUNS);
    }
}
