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

    private static Duration typicalDuration(Random random) {
        return Duration.ofMillis(80 + random.nextInt(120));
    }

    private static RolloutSample sample(boolean candidate, boolean failed, Duration took) {
        return new RolloutSample("draft", candidate, failed, took);
    }

    private void baseline(Random random, double failureRate) {
        for (int each = 0; each < ANSWERS; each++) {
            comparison.add(sample(false, random.nextDouble() < failureRate, typicalDuration(random)));
        }
    }

    /** The number of answers until the version is found to be worse; {@link #ANSWERS} if it is not. */
    private int answersUntilWorse(Random random, double failureRate, double slowRate, int factor) {
        for (int each = 1; each <= ANSWERS; each++) {
            Duration took = typicalDuration(random).multipliedBy(random.nextDouble() < slowRate ? factor : 1);
            comparison.add(sample(true, random.nextDouble() < failureRate, took));
            if (comparison.worse()) {
                return each;
            }
        }
        return ANSWERS;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void detectsAVersionOfWhichHalfTheAnswersFail(long seed) {
        Random random = new Random(seed);
        baseline(random, 0);
        assertThat(answersUntilWorse(random, 0.46, 0, 1)).isLessThan(30);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void detectsAVersionOfWhichHalfTheAnswersAreSlow(long seed) {
        Random random = new Random(seed);
        baseline(random, 0.05);
        assertThat(answersUntilWorse(random, 0, 0.5, 8)).isLessThan(50);
    }

    /** Guards against reverting a version that is as good as the previous one, whose servers also fail occasionally. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.12})
    void rarelyRejectsAVersionThatIsAsGoodAsThePreviousOne(double failureRate) {
        int rejected = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            VersionComparisonTest run = new VersionComparisonTest();
            Random random = new Random(seed);
            run.baseline(random, failureRate);
            rejected += run.answersUntilWorse(random, failureRate, 0, 1) < ANSWERS ? 1 : 0;
        }
        assertThat(rejected).isLessThanOrEqualTo(RUNS / 20);
    }

    @Test
    void detectsAVersionThatTurnsBadLater() {
        Random random = new Random(7);
        baseline(random, 0);
        assertThat(answersUntilWorse(random, 0, 0, 1)).isEqualTo(ANSWERS);
        assertThat(answersUntilWorse(random, 0.5, 0, 1)).isLessThan(30);
    }

    @Test
    void detectsAVersionThatFailsOnlyOneKindOfRequest() {
        Random random = new Random(8);
        baseline(random, 0);
        int failures = 0;
        while (!comparison.worse() && failures < ANSWERS) {
            for (int each = 0; each < 9; each++) {
                comparison.add(sample(true, false, typicalDuration(random)));
            }
            comparison.add(new RolloutSample("chat", true, true, typicalDuration(random)));
            failures++;
        }
        assertThat(failures).isLessThan(8);
    }

    /** Guards against classifying answers as slow before there is a baseline of the old version. */
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
