package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.serving.LoadWorld.Burst;
import org.wagtaillug.serving.LoadWorld.RequestKind;
import org.wagtaillug.serving.LoadWorld.Tally;

class LoadTest {
    private static final int SEEDS = 16;
    private static final int FEW_SEEDS = 4;

    /** Prompt tokens that slow engines read in a millisecond. */
    private static final int SLOW_ENGINES = 8;

    private static final List<Burst> BURSTS = List.of(
            new Burst(4.5, 11, RequestKind.BRIEF, 2.1),
            new Burst(14, 20.6, RequestKind.REPLY, 2.5),
            new Burst(27, 31, null, 1.7));

    private final Map<RequestKind, Tally> sums = new EnumMap<>(RequestKind.class);

    private double relativeValue(double times) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            new LoadWorld(seed).run(34, times, BURSTS).forEach((kind, tally) -> sums.computeIfAbsent(
                            kind, any -> new Tally())
                    .add(tally));
        }
        double achieved = 0;
        double achievable = 0;
        for (Map.Entry<RequestKind, Tally> sum : sums.entrySet()) {
            achieved += sum.getValue().value;
            achievable += sum.getValue().requested * sum.getKey().value;
        }
        return achieved / achievable;
    }

    /**
     * Bursts that the stage pools can just bear. If late requests took precedence over those that can still meet
     * their latency target, requests would remain late long after the burst; a late brief has a seventh of the value
     * of one in time. Callers get 0.916 of the achievable value.
     */
    @Test
    void burstsAtPoolCapacityCostLittle() {
        assertThat(relativeValue(1)).isGreaterThan(0.905);
        assertThat(sums.get(RequestKind.REPLY).share(RequestKind.REPLY)).isGreaterThan(0.975);
        assertThat(sums.get(RequestKind.CHAT).share(RequestKind.CHAT)).isGreaterThan(0.87);
    }

    /**
     * The same bursts with a seventh more requests than the pools can bear: callers get 0.825 of the achievable
     * value, and the most urgent kind is hardly affected.
     */
    @Test
    void overloadAffectsTheLeastUrgentRequests() {
        assertThat(relativeValue(1.15)).isGreaterThan(0.810);
        assertThat(sums.get(RequestKind.REPLY).share(RequestKind.REPLY)).isGreaterThan(0.96);
    }

    private double relativeValueWithout(double times, PolicyFeature... some) {
        return relativeValueWithout(times, LoadWorld.DEFAULT_TOKENS_PER_MILLI, some);
    }

    private double relativeValueWithout(double times, int tokensPerMilli, PolicyFeature... some) {
        double achieved = 0;
        double achievable = 0;
        for (long seed = 1; seed <= FEW_SEEDS; seed++) {
            LoadWorld world =
                    new LoadWorld(seed, PolicyFeatures.without(List.of(some))).engineTokensPerMilli(tokensPerMilli);
            Map<RequestKind, Tally> tallies = world.run(34, times, BURSTS);
            for (Map.Entry<RequestKind, Tally> each : tallies.entrySet()) {
                achieved += each.getValue().value;
                achievable += each.getValue().requested * each.getKey().value;
            }
        }
        return achieved / achievable;
    }

    /**
     * Chats need only a large result; briefs need one in parallel to a chain of three steps. If the results of briefs
     * were produced at once, they would occupy room while the chains are in progress, and chats of other callers
     * would find none.
     */
    @Test
    void branchesThatStartWhenTheyAreNeededServeMore() {
        assertThat(relativeValueWithout(1)).isGreaterThan(relativeValueWithout(1, PolicyFeature.TIMELY_BRANCHES));
    }

    /**
     * Engines read a quarter of the tokens in the same time. With a fixed assumption about their speed, steps would
     * seem to have time to spare, and requests that could still be in time would wait behind others.
     */
    @Test
    void measuredTimesOfSlowEnginesServeMore() {
        assertThat(relativeValueWithout(1, SLOW_ENGINES))
                .isGreaterThan(relativeValueWithout(1, SLOW_ENGINES, PolicyFeature.OBSERVED_ENGINES));
    }

    /**
     * Inputs that stay at their stage servers until an engine has read a long prompt occupy room that other requests
     * wait for.
     */
    @Test
    void inputsThatAreReleasedEarlyServeMore() {
        assertThat(relativeValueWithout(1, SLOW_ENGINES))
                .isGreaterThan(relativeValueWithout(1, SLOW_ENGINES, PolicyFeature.EARLY_RELEASE));
    }

    /**
     * With four tenths more load than the pools can bear, requests that cannot be in time take capacity from those
     * that can, until they are refused.
     */
    @Test
    void observedWaitsServeMoreUnderOverload() {
        double plain = relativeValueWithout(1.4, PolicyFeature.OBSERVED_WAIT, PolicyFeature.WHOLE_WAY_REFUSAL);
        assertThat(relativeValueWithout(1.4)).isGreaterThan(plain);
    }
}
