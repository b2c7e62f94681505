package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ColdUpstreamTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.runs", 1000);
    private static final int SECONDS = 40;
    private static final int NEVER_WARM = 1_000_000;

    /**
     * Guests get errors, and the engine restarts again and again: it has just started and bears one or two requests, and
     * nine nodes each send it "just one". Here messages are lost, doubled, late and out of order, nodes pause past their
     * grants, die and come back, the engine restarts, owners change, connections fall silent while the work goes on.
     */
    @Test
    void neverExceedsTheColdLimit() {
        int unheardRestarts = 0;
        long served = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            boolean warms = seed % 2 == 0;
            int coldLimit = 1 + (int) (seed / 2 % 3);
            FakeConfiguration configuration = new FakeConfiguration(coldLimit, warms ? 4 : NEVER_WARM, 8);
            GrantWorld world = new GrantWorld(seed, configuration, 3 + (int) (seed % 7), true);
            world.varyDemand(4);
            world.scheduleFaults(SECONDS, seed % 3 == 0 ? 8 : 40);
            world.runUntil(SECONDS * 1000L);
            assertThat(world.violation).as("seed %d", seed).isEmpty();
            unheardRestarts += world.unheardRestart;
            served += world.served();
        }
        System.getLogger("proof")
                .log(
                        System.Logger.Level.INFO,
                        "cold limits: {0} runs, 0 exceeded, {1} served; starts at a restarted warm upstream before the news: {2}",
                        RUNS,
                        served,
                        unheardRestarts);
    }
}
