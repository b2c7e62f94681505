package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ColdUpstreamTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.runs", 1000);
    private static final int SECONDS = 40;
    private static final int NEVER_WARM = 1_000_000;

    /**
     * Guards against a restart loop: an upstream that has just started can take one or two requests, and nine nodes
     * each send it one. Messages are lost, duplicated, delayed and reordered, nodes pause past the end of their grants,
     * crash and come back, the upstream restarts, ownership changes, and connections go silent while the work goes on.
     */
    @Test
    void neverExceedsTheColdLimit() {
        int earlyStarts = 0;
        long served = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            boolean warms = seed % 2 == 0;
            int coldLimit = 1 + (int) (seed / 2 % 3);
            FakeConfiguration configuration = new FakeConfiguration(coldLimit, warms ? 4 : NEVER_WARM, 8);
            GrantSimulation simulation = new GrantSimulation(seed, configuration, 3 + (int) (seed % 7), true);
            simulation.varyDemand(4);
            simulation.scheduleFaults(SECONDS, seed % 3 == 0 ? 8 : 40);
            simulation.runUntil(SECONDS * 1000L);
            assertThat(simulation.violation).as("seed %d", seed).isEmpty();
            earlyStarts += simulation.startsBeforeRestartNotice;
            served += simulation.served();
        }
        System.getLogger("proof")
                .log(
                        System.Logger.Level.INFO,
                        "cold limit: {0} runs, 0 violations, {1} served; starts after a restart unknown to the holder: {2}",
                        RUNS,
                        served,
                        earlyStarts);
    }

    /** Guards against a further request to a cold upstream that still works on one that was just cancelled. */
    @Test
    void neverExceedsTheColdLimitWhenAttemptsAreCancelled() {
        for (long seed = 1; seed <= RUNS; seed++) {
            boolean warms = seed % 2 == 0;
            int coldLimit = 1 + (int) (seed / 2 % 3);
            FakeConfiguration configuration = new FakeConfiguration(coldLimit, warms ? 4 : NEVER_WARM, 8);
            GrantSimulation simulation = new GrantSimulation(seed, configuration, 3 + (int) (seed % 7), true);
            simulation.cancelAttempts(seed);
            simulation.varyDemand(4);
            simulation.scheduleFaults(SECONDS, seed % 3 == 0 ? 8 : 40);
            simulation.runUntil(SECONDS * 1000L);
            assertThat(simulation.violation).as("seed %d", seed).isEmpty();
        }
    }
}
