package org.wagtaillug.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class DrainTest {
    private static final Instant START = Instant.parse("2026-12-01T08:00:00Z");

    @Test
    void theRemainingTimeCoversWorkThatCompletesBeforeAnswersAreDue() {
        Drain drain = new Drain(Duration.ofSeconds(8));
        assertThat(drain.hasTimeFor(Duration.ofHours(1), START)).isTrue();
        drain.start(START);
        assertThat(drain.hasTimeFor(Duration.ofMillis(7600), START)).isTrue();
        assertThat(drain.hasTimeFor(Duration.ofMillis(7601), START)).isFalse();
        Instant idle = START.plus(Drain.BALANCER_DELAY);
        assertThat(drain.step(true, false, idle)).isEqualTo(Drain.Step.LEAVE);
        assertThat(drain.hasTimeFor(Duration.ZERO, idle)).isTrue();
        assertThat(drain.step(true, true, idle)).isEqualTo(Drain.Step.FINISHED);
        assertThat(drain.hasTimeFor(Duration.ZERO, idle)).isFalse();
    }

    @Test
    void aNodeThatIsStillBusyLeavesTheRosterWhenAnswersAreDue() {
        Drain drain = new Drain(Duration.ofSeconds(8));
        drain.start(START);
        assertThat(drain.step(false, false, START.plusMillis(7599))).isEqualTo(Drain.Step.FINISHING);
        assertThat(drain.step(false, false, START.plusMillis(7600))).isEqualTo(Drain.Step.LEAVE);
        assertThat(drain.step(false, false, START.plusMillis(7650))).isEqualTo(Drain.Step.FINISHED);
    }

    /**
     * Guards against a node that is killed before it has left the roster: its grace period is 1 s, but it waits 2 s for
     * the balancer. The other nodes then detect its failure only by time-out, and requests in flight are interrupted.
     */
    @Test
    void aGracePeriodShorterThanTheBalancerDelayStillShutsDownInOrder() {
        Drain drain = new Drain(Duration.ofSeconds(1));
        drain.start(START);
        assertThat(drain.step(true, false, START.plusMillis(874))).isEqualTo(Drain.Step.LEAVING_BALANCER);
        assertThat(drain.step(true, false, START.plusMillis(875))).isEqualTo(Drain.Step.LEAVE);
        assertThat(drain.step(true, false, START.plusMillis(925))).isEqualTo(Drain.Step.FINISHED);
    }
}
