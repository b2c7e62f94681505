package org.wagtaillug.claim;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClaimsRandomTest {
    /** More runs: {@code -Dwagtaillug.runs=10000}. */
    private static final int RUNS = Integer.getInteger("wagtaillug.runs", 1_000);

    /**
     * A guest's deposit is taken twice. Its caller heard nothing, or "not run", and tried again on another node, while
     * the first try was still on its way: its node paused or dead, its claim's answer lost or its claim late.
     */
    @Test
    void noKeyRunsTwiceAndNotRunIsTrue() {
        long wins = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            try {
                wins += new ClaimsWorld(seed).play();
            } catch (AssertionError error) {
                throw new AssertionError("seed " + seed + ": " + error.getMessage(), error);
            }
        }
        System.out.println("claims: " + RUNS + " seeded runs, " + wins + " wins, no key ran twice");
        assertThat(wins).isGreaterThan(RUNS);
    }
}
