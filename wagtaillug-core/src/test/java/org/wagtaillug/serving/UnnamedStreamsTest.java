package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

/** Streams that are taken up without naming them, while nodes start again and upstreams are replaced by another version. */
class UnnamedStreamsTest {
    private static final Duration VERSION_MEMORY = Duration.ofMinutes(1);
    private static final Duration DOWN_TIME = Duration.ofMillis(700);
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final int UPSTREAMS = 3;

    private static StreamFleet fleet(int nodes) {
        StreamFleet fleet = new StreamFleet(nodes, UPSTREAMS, 1, OLD);
        fleet.run(VERSION_MEMORY.plusSeconds(2), 0);
        return fleet;
    }

    private static void start(StreamFleet fleet, String version) {
        for (int number = 1; number <= UPSTREAMS; number++) {
            fleet.startServer(StreamFleet.upstream(version, number), version);
        }
    }

    private static void remove(StreamFleet fleet, String version) {
        for (int number = 1; number <= UPSTREAMS; number++) {
            fleet.remove(StreamFleet.upstream(version, number));
        }
    }

    /** Replaces the old version by the new one; both serve side by side for some time. */
    private static void upgrade(StreamFleet fleet) {
        start(fleet, NEW);
        fleet.run(Duration.ofSeconds(2), 0);
        remove(fleet, OLD);
    }

    private static void restartAll(StreamFleet fleet, int nodes) {
        for (int number = 1; number <= nodes; number++) {
            fleet.kill(fleet.node(number));
        }
        fleet.run(DOWN_TIME, 0);
        for (int number = 1; number <= nodes; number++) {
            fleet.restart(fleet.node(number));
        }
    }

    /** Takes a stream up without naming it; returns its request. */
    private static RequestId takeUp(StreamFleet fleet, VmId node, Duration within) {
        RequestId request = new RequestId("second-" + node + "-" + fleet.world.now.toEpochMilli());
        fleet.world.stream(
                node, request, "question", Duration.ofSeconds(4), Optional.of(new Resumption("2", Optional.empty())));
        fleet.world.run(within);
        return request;
    }

    private static void assertRefused(StreamFleet fleet, RequestId request) {
        assertThat(fleet.world.sends(request)).isEmpty();
        assertThat(fleet.world.refusals(request)).hasSize(1);
        assertThat(fleet.world.refusals(request).getFirst().refusal().code())
                .isEqualTo(ResultCode.STREAM_NOT_RESUMABLE);
        assertThat(fleet.world.refusals(request).getFirst().refusal().run()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against nodes that have all been killed and know only the version that serves since they have started. */
    @ParameterizedTest
    @CsvSource({"3, 0, 500", "3, 1000, 1000", "9, 0, 1000", "9, 1000, 3000", "9, 1000, 10000", "30, 1000, 1000"})
    void nodesThatWereKilledTogetherDoNotGuessTheVersion(int nodes, int killAfter, int takeUpAfter) {
        StreamFleet fleet = fleet(nodes);
        upgrade(fleet);
        fleet.run(Duration.ofMillis(killAfter), 0);
        restartAll(fleet, nodes);
        fleet.run(Duration.ofMillis(takeUpAfter), 0);
        assertRefused(fleet, takeUp(fleet, fleet.node(2), Duration.ofMillis(100)));
    }

    /** Guards against versions that left while no node was running. */
    @Test
    void aVersionThatLeftWhileAllNodesWereDownIsNotForgotten() {
        StreamFleet fleet = fleet(9);
        for (int number = 1; number <= 9; number++) {
            fleet.kill(fleet.node(number));
        }
        upgrade(fleet);
        fleet.run(DOWN_TIME, 0);
        for (int number = 1; number <= 9; number++) {
            fleet.restart(fleet.node(number));
        }
        fleet.run(Duration.ofSeconds(2), 0);
        assertRefused(fleet, takeUp(fleet, fleet.node(2), Duration.ofMillis(100)));
    }

    /** Guards against a single node that starts again, or joins, and guesses the version. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNodeThatStartsAloneDoesNotGuessTheVersion(boolean joins) {
        StreamFleet fleet = fleet(9);
        upgrade(fleet);
        fleet.run(Duration.ofSeconds(1), 0);
        VmId node = fleet.node(joins ? 10 : 4);
        if (!joins) {
            fleet.kill(node);
            fleet.run(DOWN_TIME, 0);
        }
        fleet.restart(node);
        fleet.run(Duration.ofSeconds(2), 0);
        assertRefused(fleet, takeUp(fleet, node, Duration.ofMillis(100)));
    }

    /** Guards against a node that was cut off or suspended while a version came and left. */
    @Test
    void aNodeThatMissedAVersionDoesNotGuess() {
        StreamFleet fleet = fleet(9);
        VmId node = fleet.node(4);
        fleet.isolate(node);
        fleet.cutOffFromStore(node);
        fleet.run(Duration.ofSeconds(1), 0);
        start(fleet, NEW);
        fleet.run(Duration.ofSeconds(3), 0);
        remove(fleet, NEW);
        fleet.run(Duration.ofSeconds(2), 0);
        fleet.world.isolatedNodes.clear();
        fleet.world.cutOffFromStore.clear();
        fleet.run(Duration.ofSeconds(1), 0);
        assertRefused(fleet, takeUp(fleet, node, Duration.ofMillis(100)));
    }

    /** Guards against a node that has not heard yet of a version at which others have begun streams. */
    @ParameterizedTest
    @CsvSource({
        "false, false, 20",
        "false, false, 60",
        "false, false, 100",
        "false, false, 200",
        "false, false, 500",
        "true, false, 60",
        "true, false, 100",
        "true, false, 200",
        "true, false, 300",
        "true, false, 500",
        "true, false, 1000",
        "false, true, 100",
        "false, true, 300",
        "false, true, 1000",
        "false, true, 4000",
        "true, true, 100",
        "true, true, 300",
        "true, true, 1000",
        "true, true, 4000"
    })
    void aNodeThatIsOutOfStepDoesNotGuess(boolean withoutPeers, boolean withoutStore, int takeUpAfter) {
        for (int number = 1; number <= 9; number++) {
            StreamFleet fleet = fleet(9);
            VmId node = fleet.node(number);
            if (withoutPeers) {
                fleet.isolate(node);
            }
            if (withoutStore) {
                fleet.cutOffFromStore(node);
            }
            fleet.run(Duration.ofSeconds(1), 0);
            start(fleet, NEW);
            fleet.run(Duration.ofMillis(takeUpAfter), 0);
            assertRefused(fleet, takeUp(fleet, node, Duration.ofMillis(2500)));
        }
    }

    /** Guards against a store that has come back from a copy made before the upgrade. */
    @Test
    void aStoreThatComesBackFromAnEarlierCopyDoesNotHideAVersion() {
        StreamFleet fleet = fleet(9);
        Map<FeedName, Integer> copy = fleet.world.copyStore();
        upgrade(fleet);
        fleet.run(Duration.ofMillis(500), 0);
        restartAll(fleet, 9);
        fleet.world.restoreStore(copy);
        start(fleet, NEW);
        remove(fleet, OLD);
        fleet.run(Duration.ofSeconds(2), 0);
        assertRefused(fleet, takeUp(fleet, fleet.node(2), Duration.ofMillis(100)));
    }

    /** Guards against callers that wait, or are served by a guess, while the store is away after a start. */
    @Test
    void aNodeThatHasStartedWithoutTheStoreRefusesSoon() {
        StreamFleet fleet = fleet(9);
        upgrade(fleet);
        fleet.run(Duration.ofSeconds(1), 0);
        VmId node = fleet.node(4);
        fleet.kill(node);
        fleet.run(DOWN_TIME, 0);
        fleet.restart(node);
        fleet.run(Duration.ofSeconds(2), 0);
        for (int number = 1; number <= 9; number++) {
            fleet.cutOffFromStore(fleet.node(number));
        }
        fleet.run(Duration.ofSeconds(2), 0);
        assertRefused(fleet, takeUp(fleet, node, Duration.ofMillis(1600)));
    }

    /** Guards against refusals for a minute after each restart although only one version has ever served. */
    @ParameterizedTest
    @CsvSource({"3, 500", "9, 500", "30, 1000"})
    void streamsOfTheOnlyVersionGoOnAfterARestartOfAllNodes(int nodes, int takeUpAfter) {
        StreamFleet fleet = fleet(nodes);
        restartAll(fleet, nodes);
        fleet.run(Duration.ofMillis(takeUpAfter), 0);
        RequestId request = takeUp(fleet, fleet.node(2), Duration.ofMillis(100));
        assertThat(fleet.world.sends(request)).hasSize(1);
    }

    /** Guards against refusals by nodes that have served for long while the store is away. */
    @Test
    void streamsOfTheOnlyVersionGoOnWhileTheStoreIsAway() {
        StreamFleet fleet = fleet(9);
        for (int number = 1; number <= 9; number++) {
            fleet.cutOffFromStore(fleet.node(number));
        }
        fleet.run(Duration.ofSeconds(4), 0);
        RequestId request = takeUp(fleet, fleet.node(2), Duration.ofMillis(1700));
        assertThat(fleet.world.sends(request)).hasSize(1);
    }

    /** Guards against versions that are remembered for ever, also by nodes that have started in the meantime. */
    @Test
    void streamsGoOnAMinuteAfterTheEarlierVersionHasLeft() {
        StreamFleet fleet = fleet(9);
        upgrade(fleet);
        fleet.run(Duration.ofSeconds(1), 0);
        restartAll(fleet, 9);
        fleet.run(VERSION_MEMORY.plusSeconds(4), 0);
        RequestId beforeRestart = takeUp(fleet, fleet.node(2), Duration.ofMillis(100));
        restartAll(fleet, 9);
        fleet.run(Duration.ofSeconds(1), 0);
        RequestId afterRestart = takeUp(fleet, fleet.node(3), Duration.ofMillis(100));
        assertThat(fleet.world.sends(beforeRestart)).hasSize(1);
        assertThat(fleet.world.sends(afterRestart)).hasSize(1);
    }
}
