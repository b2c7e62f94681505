package org.wagtaillug.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VersionComparisonTest {
    private static final int ANSWERS = 100;
    private static final int RUNS = 200;

    private final VersionComparison comparison = new VersionComparison();

    private static Duration usual(Random random) {
        return Duration.ofMillis(80 + random.nextInt(120));
    }

    private static RolloutSample sample(boolean candidate, boolean failed, Duration took) {
        return new RolloutSample("draft", candidate, failed, took);
    }

    private void baseline(Random random, double failing) {
        for (int each = 0; each < ANSWERS; each++) {
            comparison.add(sample(false, random.nextDouble() < failing, usual(random)));
        }
    }

    /** Answers until the version counts as worse; all of them if it does not. */
    private int answersUntilWorse(Random random, double failing, double slow, int factor) {
        for (int each = 1; each <= ANSWERS; each++) {
            Duration took = usual(random).multipliedBy(random.nextDouble() < slow ? factor : 1);
            comparison.add(sample(true, random.nextDouble() < failing, took));
            if (comparison.worse()) {
                return each;
            }
        }
        return ANSWERS;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void findsAVersionOfWhichHalfTheAnswersFail(long seed) {
        Random random = new Random(seed);
        baseline(random, 0);
        assertThat(answersUntilWorse(random, 0.46, 0, 1)).isLessThan(30);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void findsAVersionOfWhichHalfTheAnswersAreSlow(long seed) {
        Random random = new Random(seed);
        baseline(random, 0.05);
        assertThat(answersUntilWorse(random, 0, 0.5, 8)).isLessThan(50);
    }

    /** Guards against reverting a version that is as good as the one before it, whose servers fail now and then too. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.12})
    void seldomCondemnsAVersionThatIsAsGoodAsTheOneBefore(double failing) {
        int condemned = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            VersionComparisonTest run = new VersionComparisonTest();
            Random random = new Random(seed);
            run.baseline(random, failing);
            condemned += run.answersUntilWorse(random, failing, 0, 1) < ANSWERS ? 1 : 0;
        }
        assertThat(condemned).isLessThanOrEqualTo(RUNS / 20);
    }

    @Test
    void findsAVersionThatTurnsBadLater() {
        Random random = new Random(7);
        baseline(random, 0);
        assertThat(answersUntilWorse(random, 0, 0, 1)).isEqualTo(ANSWERS);
        assertThat(answersUntilWorse(random, 0.5, 0, 1)).isLessThan(30);
    }

    @Test
    void findsAVersionThatFailsOneKindOfRequestOnly() {
        Random random = new Random(8);
        baseline(random, 0);
        int failures = 0;
        while (!comparison.worse() && failures < ANSWERS) {
            for (int each = 0; each < 9; each++) {
                comparison.add(sample(true, false, usual(random)));
            }
            comparison.add(new RolloutSample("chat", true, true, usual(random)));
            failures++;
        }
        assertThat(failures).isLessThan(8);
    }

    /** Guards against taking an answer as slow before it is known how long the old version takes. */
    @Test
    void comparesTimesOnlyWithAKnownBaseline() {
        comparison.add(sample(false, false, Duration.ofMillis(1)));
        for (int each = 0; each < ANSWERS; each++) {
            comparison.add(sample(true, false, Duration.ofMillis(500)));
        }
        assertThat(comparison.worse()).isFalse();
        assertThat(comparison.candidates()).isEqualTo(ANSWERS);
        assertThat(comparison.badCandidates()).isZero();
    }
}
