package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.health.EngineTimes;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.RouteId;
import org.wagtaillug.policy.PolicyFeatures;
import org.wagtaillug.route.BatchContract;
import org.wagtaillug.route.CallerLimits;
import org.wagtaillug.route.PoolProfile;
import org.wagtaillug.route.Route;
import org.wagtaillug.route.RouteKind;
import org.wagtaillug.route.RouteTable;
import org.wagtaillug.route.ServingConfiguration;
import org.wagtaillug.route.Step;

/** Uses a chain of two steps and a short parallel branch, with 150 ms per call and 20 ms per item. */
class PathEstimateTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final PoolId FIRST = new PoolId("first");
    private static final PoolId SECOND = new PoolId("second");
    private static final Route ROUTE = Route.builder(new RouteId("question"), RouteKind.STREAM)
            .pool(new PoolId("model"), 1)
            .step(new Step(0, FIRST, List.of(), 100))
            .step(new Step(1, SECOND, List.of(0), 100))
            .step(new Step(2, FIRST, List.of(), 100))
            .build();

    private final EngineTimes engines = new EngineTimes();
    private final PathEstimate pathEstimate =
            new PathEstimate(new StepTimes(engines, PolicyFeatures.ALL, ObservedCalls.none()));

    private static ServingConfiguration configuration() {
        BatchContract contract =
                new BatchContract(1, 6, Duration.ofMillis(150), Duration.ofMillis(20), 1000, Duration.ofSeconds(4));
        Map<PoolId, PoolProfile> pools = new HashMap<>();
        for (PoolId pool : List.of(FIRST, SECOND)) {
            pools.put(pool, new PoolProfile(pool, 10, 0, Optional.of(contract), false));
        }
        return new ServingConfiguration(1, new RouteTable(List.of(ROUTE)), pools, CallerLimits.DEFAULT, Map.of());
    }

    private PathEstimate.Path estimate(int queueDelayOfFirst, int queueDelayOfSecond) {
        RoutedRequest request = new RoutedRequest(
                new RequestId("r"),
                "club.example",
                "/1",
                Optional.empty(),
                Duration.ofSeconds(10),
                List.of(1, 3, 1),
                Optional.of("key"),
                List.of(),
                1000,
                0,
                Optional.empty());
        Flow flow = new Flow(request, ROUTE, Optional.empty(), 0, NOW);
        return pathEstimate.estimate(
                flow,
                configuration(),
                (pool, rank) -> Duration.ofMillis(pool.equals(FIRST) ? queueDelayOfFirst : queueDelayOfSecond),
                NOW);
    }

    private void recordEngineMillis(int millis) {
        for (int each = 0; each < 8; each++) {
            engines.onFirstEvent(new PoolId("model"), 1000, Duration.ofMillis(millis), NOW);
        }
    }

    @Test
    void thePathIsTheLongestChainAndTheEngine() {
        recordEngineMillis(200);
        assertThat(estimate(0, 0).total()).isEqualTo(Duration.ofMillis(170 + 210 + 200));
        assertThat(estimate(0, 0).waits()).isZero();
    }

    @Test
    void theWaitsOfAllStepsCount() {
        // The first pool is idle and the second one has several seconds of queued work. If only the first pool were
        // considered, the request would be accepted, and its caller would be refused only after the first step.
        recordEngineMillis(200);
        assertThat(estimate(0, 3000).waits()).isEqualTo(Duration.ofMillis(3000));
        assertThat(estimate(0, 3000).total()).isEqualTo(Duration.ofMillis(170 + 3000 + 210 + 200));
        assertThat(estimate(400, 3000).waits()).isEqualTo(Duration.ofMillis(3400));
    }
}
