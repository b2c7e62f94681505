package org.wagtaillug.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RouteId;

class AnswerTimesTest {
    private static final RouteId CHAT = new RouteId("chat");
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final AnswerTimes times = new AnswerTimes();

    private void answers(int count, Duration fromArrival, Duration fromSending, Instant now) {
        for (int number = 0; number < count; number++) {
            times.onAnswered(CHAT, fromArrival, fromSending, now);
        }
    }

    @Test
    void theEstimateIsTheLongestAnswerPlusAQuarter() {
        answers(7, SECOND, SECOND.dividedBy(2), START);
        answers(1, SECOND.multipliedBy(4), SECOND.multipliedBy(2), START);
        assertThat(times.fromArrival(CHAT, START)).contains(Duration.ofSeconds(5));
        assertThat(times.fromSending(CHAT, START)).contains(Duration.ofMillis(2500));
        assertThat(times.fromArrival(new RouteId("other"), START)).isEmpty();
    }

    @Test
    void tooFewAnswersGiveNoEstimate() {
        answers(7, SECOND, SECOND, START);
        assertThat(times.fromArrival(CHAT, START)).isEmpty();
    }

    /**
     * Guards against a single answer of one minute that makes a node refuse all requests of its route whenever it shuts
     * down.
     */
    @Test
    void anAnswerIsEvictedAfterAMinuteOrThirtyTwoOthers() {
        answers(1, Duration.ofMinutes(1), SECOND, START);
        answers(31, SECOND, SECOND, START.plusSeconds(30));
        assertThat(times.fromArrival(CHAT, START.plusSeconds(60))).contains(Duration.ofSeconds(75));
        assertThat(times.fromArrival(CHAT, START.plusSeconds(61))).contains(Duration.ofMillis(1250));
        answers(1, SECOND, SECOND, START.plusSeconds(31));
        assertThat(times.fromArrival(CHAT, START.plusSeconds(31))).contains(Duration.ofMillis(1250));
        assertThat(times.fromArrival(CHAT, START.plusSeconds(92))).isEmpty();
    }
}
