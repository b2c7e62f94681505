package org.wagtaillug.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class GracePeriodTest {
    private static final Instant START = Instant.parse("2026-12-01T08:00:00Z");

    @Test
    void aLongGracePeriodReservesAFixedTimeAndAShortOneAnEighth() {
        assertThat(GracePeriod.exitReserve(Duration.ofSeconds(30))).isEqualTo(Duration.ofMillis(400));
        assertThat(GracePeriod.exitReserve(Duration.ofMillis(800))).isEqualTo(Duration.ofMillis(100));
    }

    @Test
    void answersAreDueBeforeTheEndOfTheGracePeriod() {
        GracePeriod grace = new GracePeriod(Duration.ofSeconds(8));
        assertThat(grace.outOfTime(START)).isFalse();
        grace.start(START);
        assertThat(grace.outOfTime(START.plusMillis(7599))).isFalse();
        assertThat(grace.outOfTime(START.plusMillis(7600))).isTrue();
        assertThat(grace.since(START.plusMillis(7))).isEqualTo(Duration.ofMillis(7));
    }

    /**
     * Guards against starting a request that is past its deadline, and so needs a negative time, after the last answers
     * are due.
     */
    @Test
    void nothingFitsAfterAnswersAreDue() {
        GracePeriod grace = new GracePeriod(Duration.ofSeconds(8));
        grace.start(START);
        assertThat(grace.hasTimeFor(Duration.ofMillis(-500), START.plusMillis(7600)))
                .isTrue();
        assertThat(grace.hasTimeFor(Duration.ofMillis(-500), START.plusMillis(7601)))
                .isFalse();
    }

    @Test
    void startingTwiceHasNoEffect() {
        GracePeriod grace = new GracePeriod(Duration.ofSeconds(8));
        assertThat(grace.hasTimeFor(Duration.ofHours(1), START)).isTrue();
        grace.start(START);
        grace.start(START.plusSeconds(5));
        assertThat(grace.since(START.plusSeconds(6))).isEqualTo(Duration.ofSeconds(6));
        assertThat(grace.hasTimeFor(Duration.ofMillis(1600), START.plusSeconds(6)))
                .isTrue();
        assertThat(grace.hasTimeFor(Duration.ofMillis(1601), START.plusSeconds(6)))
                .isFalse();
    }
}
