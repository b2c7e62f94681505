package org.wagtaillug.notice;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.VmId;

class AnnouncedRateLimitsTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final VmId UPSTREAM = new VmId("i-1");
    private static final OptionalDouble LIMIT = OptionalDouble.of(2);
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final AnnouncedRateLimits limits = new AnnouncedRateLimits();

    private static Instant at(int millis) {
        return START.plusMillis(millis);
    }

    private static RateLimitReport report(OptionalDouble limit, int ageMillis) {
        return new RateLimitReport(UPSTREAM, limit, Duration.ofMillis(ageMillis));
    }

    @Test
    void aSuccessWithoutALimitEndsIt() {
        assertThat(limits.onAnswer(UPSTREAM, LIMIT, true, START, at(100))).isTrue();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
        assertThat(limits.onAnswer(UPSTREAM, NONE, true, at(101), at(200))).isTrue();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(NONE);
    }

    /** Guards against an answer that was given before the limit was set and overtaken by one that names it. */
    @Test
    void anAnswerToARequestSentBeforeTheLimitWasKnownDoesNotEndIt() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(100));
        assertThat(limits.onAnswer(UPSTREAM, NONE, true, at(90), at(110))).isFalse();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
    }

    /** Guards against a failure that a broken upstream sends without its usual headers. */
    @Test
    void aFailureWithoutALimitDoesNotEndIt() {
        limits.onAnswer(UPSTREAM, LIMIT, false, START, at(100));
        assertThat(limits.onAnswer(UPSTREAM, NONE, false, at(150), at(200))).isFalse();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
    }

    @Test
    void aNewerReportOfALowerLimitHoldsAtOnce() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(100));
        assertThat(limits.onReport(report(OptionalDouble.of(1), 50), at(120))).isFalse();
        assertThat(limits.onReport(report(OptionalDouble.of(1), 10), at(120))).isTrue();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(OptionalDouble.of(1));
    }

    /** Guards against a report that a frozen node took for a new one, about the time before the limit. */
    @Test
    void aReportThatAllowsMoreHoldsOnlyIfItIsNewerThanAnyDelay() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(10_000));
        assertThat(limits.onReport(report(NONE, 100), at(13_500))).isFalse();
        assertThat(limits.onReport(report(OptionalDouble.of(20), 100), at(13_500)))
                .isFalse();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
        assertThat(limits.onReport(report(NONE, 100), at(15_200))).isTrue();
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(NONE);
    }

    /** Guards against nodes that make an observation newer by telling it to each other. */
    @Test
    void aReportThatSaysTheSameDoesNotRenewAnObservationByItsDelay() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(0));
        for (int exchange = 1; exchange <= 50; exchange++) {
            int delay = 100;
            int age = (int) limits.reports(at(400 * exchange)).getFirst().age().toMillis();
            limits.onReport(report(LIMIT, age), at(400 * exchange + delay));
        }
        assertThat(limits.reports(at(20_000))).containsExactly(report(LIMIT, 20_000));
    }

    /** Guards against nodes that are told of the end of a limit once only, when the report may still be a delayed one. */
    @Test
    void successesWithoutALimitRenewItsEnd() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(100));
        limits.onAnswer(UPSTREAM, NONE, true, at(150), at(200));
        assertThat(limits.onAnswer(UPSTREAM, NONE, true, at(5900), at(6000))).isFalse();
        assertThat(limits.reports(at(6000))).containsExactly(report(NONE, 0));
    }

    /** Guards against a node that was cut off and brings back a limit that has ended. */
    @Test
    void anEndedLimitIsRememberedAndReported() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(100));
        limits.onAnswer(UPSTREAM, NONE, true, at(150), at(200));
        limits.onTick(upstream -> true, at(20_000));
        assertThat(limits.onReport(report(LIMIT, 19_900), at(20_000))).isFalse();
        assertThat(limits.reports(at(20_000))).containsExactly(report(NONE, 19_800));
    }

    /** Guards against reports that grow with every upstream that was ever limited. */
    @Test
    void limitsOfUpstreamsThatAreGoneAreDropped() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(0));
        limits.onTick(upstream -> true, at(60_000));
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
        limits.onTick(upstream -> false, at(60_000));
        assertThat(limits.reports(at(60_000))).isEmpty();
    }

    @Test
    void aRestartEndsALimit() {
        limits.onAnswer(UPSTREAM, LIMIT, true, START, at(0));
        limits.onRestarted(UPSTREAM, at(10), at(1000));
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(NONE);
    }

    /** Guards against an entry that shows a restart only after the restarted upstream has announced the limit. */
    @Test
    void aRestartBeforeTheAnnouncementDoesNotEndALimit() {
        limits.onAnswer(UPSTREAM, LIMIT, true, at(20), at(30));
        limits.onRestarted(UPSTREAM, at(10), at(1000));
        assertThat(limits.limitOf(UPSTREAM)).isEqualTo(LIMIT);
    }
}
