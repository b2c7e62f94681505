package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.batch.StepResult;
import org.wagtaillug.health.StepDurations;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.Step;

/** Uses a large result (step 0) in parallel to a chain of three steps (1, 2, 3). */
class BranchTimingTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId ENCODE = new PoolId("encode");
    private static final Route ROUTE = Route.builder(new RouteId("chat"), RouteKind.STREAM)
            .pool(new PoolId("model"), 1)
            .step(new Step(0, ENCODE, List.of(), 3_000_000))
            .step(new Step(1, ENCODE, List.of(), 8_000))
            .step(new Step(2, new PoolId("retrieve"), List.of(1), 60_000))
            .step(new Step(3, new PoolId("rerank"), List.of(2), 6_000))
            .build();

    private final StepDurations durations = new StepDurations();
    private final BranchTiming timing = new BranchTiming(durations);
    private final Flow flow = new Flow(request(List.of(1, 1, 8, 16)), ROUTE, Optional.empty(), 0, START);

    private static RoutedRequest request(List<Integer> items) {
        return new RoutedRequest(
                new RequestId("r"),
                "club.example",
                "/chat/1",
                Optional.empty(),
                Duration.ofSeconds(10),
                items,
                Optional.of("key"),
                List.of(),
                1000,
                0,
                Optional.empty());
    }

    private static Step step(int number) {
        return ROUTE.steps().get(number);
    }

    private void recordDurations(int step, int... millis) {
        for (int each : millis) {
            durations.onCompleted(ROUTE.id(), step, Duration.ofMillis(each));
        }
    }

    private void recordAllAs300Millis() {
        for (int step = 0; step < 4; step++) {
            recordDurations(step, 300, 300, 300, 300);
        }
    }

    private void complete(int step) {
        flow.complete(step, List.of(new StepResult("h-" + step, new VmId("i"))), Duration.ofMillis(300));
    }

    @Test
    void everyBranchStartsAtOnceWhileNothingIsKnown() {
        assertThat(timing.startsNow(flow, step(0), START)).isTrue();
        assertThat(timing.startsNow(flow, step(1), START)).isTrue();
    }

    @Test
    void theShortBranchWaitsUntilTheLongOneIsNearlyDone() {
        // If the large result were produced at once, it would occupy room at its stage server for 600 ms before it
        // can be used, and requests of other callers would find none there.
        recordAllAs300Millis();
        assertThat(timing.startsNow(flow, step(1), START)).isTrue();
        assertThat(timing.startsNow(flow, step(0), START)).isFalse();
        flow.recordOrder(step(1), START);
        complete(1);
        flow.recordOrder(step(2), START.plusMillis(300));
        assertThat(timing.startsNow(flow, step(0), START.plusMillis(590))).isFalse();
        assertThat(timing.startsNow(flow, step(0), START.plusMillis(600))).isTrue();
    }

    @Test
    void aBranchWhosePoolHasBecomeSlowStartsEarlier() {
        recordAllAs300Millis();
        recordDurations(0, 900);
        assertThat(timing.startsNow(flow, step(0), START)).isTrue();
    }

    @Test
    void aBranchWithoutOthersStartsAtOnce() {
        recordAllAs300Millis();
        Flow alone = new Flow(request(List.of(2, 0, 0, 0)), ROUTE, Optional.empty(), 0, START);
        assertThat(timing.startsNow(alone, step(0), START)).isTrue();
    }

    @Test
    void aBranchStartsWhenTheOthersTakeLongerThanUsual() {
        // The last step of the chain hangs. If the branch waited until the chain is nearly complete, its own duration
        // would be added.
        recordAllAs300Millis();
        flow.recordOrder(step(1), START);
        complete(1);
        flow.recordOrder(step(2), START);
        complete(2);
        flow.recordOrder(step(3), START);
        assertThat(timing.startsNow(flow, step(0), START.plusSeconds(2))).isTrue();
    }
}
