package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;

/** Retries that reach engines from all nodes together, while engines fail and nodes are restarted. */
class RetryStormTest {
    private static final Duration CALM = Duration.ofSeconds(12);
    private static final double SOUND_PER_SECOND = 60;

    /** Guards against nodes that spend their whole budget for retries again after each restart. */
    @ParameterizedTest
    @CsvSource({"3, 1", "9, 1", "9, 3", "77, 1", "95, 4"})
    void retriesStayBoundedWhenAllNodesRestartWhileEnginesRejectRequests(int nodes, int restarts) {
        EngineFleet fleet = start(nodes);
        fleet.rejectedShare = 0.8;
        fleet.run(Duration.ofSeconds(4), SOUND_PER_SECOND, 0);
        for (int restart = 0; restart < restarts; restart++) {
            restartAll(fleet, nodes);
            fleet.run(Duration.ofSeconds(3), SOUND_PER_SECOND, 0);
        }
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against windows of retries that end early when wall clocks are set ahead, once or in series. */
    @ParameterizedTest
    @CsvSource({"3, 1, 9500", "6, 1, 9500", "9, 1, 5000", "9, 4, 3000", "9, 2, 3600000", "77, 1, 9500", "95, 3, 4000"})
    void retriesStayBoundedWhenWallClocksAreSetAheadWhileEnginesRejectRequests(int nodes, int steps, long stepMillis) {
        EngineFleet fleet = start(nodes);
        fleet.rejectedShare = 0.8;
        fleet.run(Duration.ofSeconds(2), SOUND_PER_SECOND, 0);
        for (int step = 0; step < steps; step++) {
            stepAllWallClocks(fleet, nodes, Duration.ofMillis(stepMillis));
            fleet.run(Duration.ofMillis(1500), SOUND_PER_SECOND, 0);
        }
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.retries()).isPositive();
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against a run that takes its own age from wall clocks, which are set while all nodes start again. */
    @ParameterizedTest
    @CsvSource({"3, 9500", "9, 9500", "9, -9500", "77, 12000"})
    void retriesStayBoundedWhenWallClocksAreSetBesideRestartsOfAllNodes(int nodes, long stepMillis) {
        EngineFleet fleet = start(nodes);
        fleet.rejectedShare = 0.8;
        for (int restart = 0; restart < 2; restart++) {
            fleet.run(Duration.ofSeconds(2), SOUND_PER_SECOND, 0);
            restartAll(fleet, nodes);
            fleet.run(Duration.ofSeconds(1), SOUND_PER_SECOND, 0);
            stepAllWallClocks(fleet, nodes, Duration.ofMillis(stepMillis));
        }
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.retries()).isPositive();
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against nodes that start without the store, and take a share as if the fleet had few members. */
    @ParameterizedTest
    @CsvSource({"9", "30", "77", "95"})
    void retriesStayBoundedWhenNodesStartWhileTheStoreIsAway(int nodes) {
        EngineFleet fleet = start(nodes);
        fleet.setStoreAway(true);
        restartAll(fleet, nodes);
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        fleet.rejectedShare = 0.8;
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        fleet.setStoreAway(false);
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against nodes that serve without the list of members, and take a share as if the fleet had few of them. */
    @ParameterizedTest
    @CsvSource({"9", "30", "77", "95"})
    void retriesStayBoundedWhenNodesStartWhileTheStoreDoesNotListMembers(int nodes) {
        EngineFleet fleet = start(nodes);
        fleet.world.feedsAway.add(FeedName.MEMBERSHIP);
        restartAll(fleet, nodes);
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        fleet.rejectedShare = 0.8;
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.retries()).isPositive();
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against nodes that start in turn without the store, and learn of the members from others only. */
    @ParameterizedTest
    @CsvSource({"9", "77"})
    void retriesStayBoundedWhenNodesStartInTurnWhileTheStoreIsAway(int nodes) {
        EngineFleet fleet = start(nodes);
        fleet.setStoreAway(true);
        for (int number = 1; number <= nodes; number++) {
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofMillis(6000 / nodes), SOUND_PER_SECOND, 0);
            fleet.restart(fleet.node(number));
        }
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        fleet.rejectedShare = 0.8;
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.retries()).isPositive();
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against nodes that resume all interrupted streams again after each restart, while engines end together. */
    @ParameterizedTest
    @CsvSource({"9", "77"})
    void retriesStayBoundedWhenEnginesEndBesideRestartsOfAllNodes(int nodes) {
        EngineFleet fleet = start(nodes);
        for (int restart = 0; restart < 3; restart++) {
            for (int wave = 0; wave < 3; wave++) {
                fleet.crashEngines(12);
                fleet.run(Duration.ofMillis(1200), SOUND_PER_SECOND, 0);
            }
            restartAll(fleet, nodes);
        }
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against retries beyond the bound while prompts crash engines, the store is away and nodes restart in turn. */
    @ParameterizedTest
    @CsvSource({"9", "77"})
    void retriesStayBoundedWhilePromptsCrashEnginesAndNodesRestartInTurn(int nodes) {
        EngineFleet fleet = start(nodes);
        fleet.crashingSegment = Optional.of("crashing");
        fleet.rejectedShare = 0.4;
        fleet.setStoreAway(true);
        for (int number = 1; number <= nodes; number++) {
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofMillis(9000 / nodes), SOUND_PER_SECOND, 6);
            fleet.restart(fleet.node(number));
        }
        fleet.setStoreAway(false);
        fleet.run(CALM, SOUND_PER_SECOND, 6);
        assertThat(fleet.arrivals.excesses()).isEmpty();
    }

    /** Guards against requests that are sent again outside the budget after an engine has not found their inputs. */
    @Test
    void retriesStayBoundedWhenInputsOfRequestsAreGone() {
        int nodes = 3;
        ServingWorld world = new ServingWorld(nodes);
        world.startServing();
        RetryArrivals arrivals = new RetryArrivals();
        Map<Integer, List<RequestId>> open = new HashMap<>();
        for (int round = 0; round < 80; round++) {
            for (int node = 1; node <= nodes; node++) {
                List<RequestId> ofNode = open.computeIfAbsent(node, number -> new ArrayList<>());
                ofNode.add(world.request(node, "draft", 1));
                arrivals.onRequest(world.now);
                rejectArrived(world, node, ofNode, arrivals);
            }
            world.run(Duration.ofMillis(100));
        }
        assertThat(arrivals.retries()).isPositive();
        assertThat(arrivals.excesses()).isEmpty();
    }

    /** Answers each attempt of a node's requests that has not been answered: an input is gone. */
    private static void rejectArrived(ServingWorld world, int node, List<RequestId> requests, RetryArrivals arrivals) {
        for (RequestId request : requests) {
            int answered = arrivals.of(request);
            if (world.sends(request).size() > answered) {
                arrivals.onArrival(request, world.now);
                world.endAttempt(node, request, new SendEnd.NotRun(409));
            }
        }
    }

    private static EngineFleet start(int nodes) {
        EngineFleet fleet = new EngineFleet(nodes, 24, nodes);
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        return fleet;
    }

    private static void stepAllWallClocks(EngineFleet fleet, int nodes, Duration step) {
        for (int number = 1; number <= nodes; number++) {
            fleet.stepWallClock(fleet.node(number), step);
        }
    }

    private static void restartAll(EngineFleet fleet, int nodes) {
        for (int number = 1; number <= nodes; number++) {
            fleet.kill(fleet.node(number));
        }
        fleet.run(Duration.ofMillis(500), SOUND_PER_SECOND, 0);
        for (int number = 1; number <= nodes; number++) {
            fleet.restart(fleet.node(number));
        }
    }
}
