package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.id.VmId;

/** Streams that go on after an interruption while upstreams of several versions serve side by side. */
class ResumedStreamsTest {
    private static final Duration LONGEST_STREAM = Duration.ofSeconds(7);
    private static final String OLD = "v1";
    private static final String NEW = "v2";

    /** Guards against a retry within one answer that sends events of another version. */
    @ParameterizedTest
    @CsvSource({"3, 1", "9, 2", "9, 3"})
    void streamsWhoseUpstreamsCrashGoOnAtTheirVersion(int nodes, long seed) {
        StreamFleet fleet = new StreamFleet(nodes, 3, seed, OLD, NEW);
        fleet.run(Duration.ofSeconds(2), 20);
        for (int number = 1; number <= 2; number++) {
            for (String version : new String[] {OLD, NEW}) {
                VmId crashed = StreamFleet.upstream(version, number);
                fleet.crash(crashed);
                fleet.run(Duration.ofSeconds(3), 20);
                fleet.startServer(crashed, version);
                fleet.run(Duration.ofSeconds(1), 20);
            }
        }
        verify(fleet, 0.9);
    }

    /** Guards against a caller's next try at another node that gets events of another version. */
    @ParameterizedTest
    @CsvSource({"3, 1", "9, 2", "9, 3", "77, 4"})
    void streamsOfKilledNodesGoOnAtTheirVersion(int nodes, long seed) {
        StreamFleet fleet = new StreamFleet(nodes, 3, seed, OLD, NEW);
        fleet.run(Duration.ofSeconds(2), 20);
        for (int number = 1; number <= Math.min(nodes, 20); number++) {
            VmId killed = fleet.node(number);
            fleet.kill(killed);
            fleet.run(Duration.ofMillis(700), 20);
            fleet.restart(killed);
            fleet.run(Duration.ofMillis(800), 20);
        }
        verify(fleet, 0.9);
    }

    /** Guards against nodes that forget the versions of open streams when half or all of them are killed together. */
    @ParameterizedTest
    @CsvSource({"9, 5, 1", "9, 9, 2", "30, 30, 3"})
    void streamsGoOnAtTheirVersionAfterManyNodesWereKilledTogether(int nodes, int killed, long seed) {
        StreamFleet fleet = new StreamFleet(nodes, 3, seed, OLD, NEW);
        for (int round = 0; round < 3; round++) {
            fleet.run(Duration.ofSeconds(4), 20);
            for (int number = 1; number <= killed; number++) {
                fleet.kill(fleet.node(number));
            }
            fleet.run(Duration.ofMillis(700), 20);
            for (int number = 1; number <= killed; number++) {
                fleet.restart(fleet.node(number));
            }
        }
        verify(fleet, 0.5);
    }

    /** Guards against nodes without contact to others, or to the store, that guess the version of a stream. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void nodesThatAreCutOffDoNotMixVersions(long seed) {
        StreamFleet fleet = new StreamFleet(9, 3, seed, OLD, NEW);
        fleet.run(Duration.ofSeconds(2), 20);
        fleet.isolate(fleet.node(2));
        fleet.isolate(fleet.node(3));
        fleet.cutOffFromStore(fleet.node(4));
        fleet.cutOffFromStore(fleet.node(5));
        for (int number = 6; number <= 9; number++) {
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofSeconds(1), 20);
            fleet.restart(fleet.node(number));
            fleet.run(Duration.ofSeconds(1), 20);
        }
        verify(fleet, 0.5);
    }

    /** Guards against streams that go on at another version when the upstreams of theirs are replaced. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void streamsDoNotMoveToTheNextVersionDuringAnUpgrade(long seed) {
        StreamFleet fleet = new StreamFleet(9, 4, seed, OLD);
        fleet.run(Duration.ofSeconds(2), 20);
        for (int number = 1; number <= 4; number++) {
            fleet.startServer(StreamFleet.upstream(NEW, number), NEW);
            fleet.run(Duration.ofMillis(500), 20);
            VmId replaced = StreamFleet.upstream(OLD, number);
            fleet.leave(replaced);
            fleet.run(Duration.ofMillis(1000), 20);
            fleet.crash(replaced);
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofMillis(500), 20);
            fleet.restart(fleet.node(number));
        }
        verify(fleet, 0.5);
    }

    /** Guards against trust in the version of an upstream that has started again under its id at another one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void streamsOfUpstreamsThatRestartAtAnotherVersionDoNotMixVersions(long seed) {
        StreamFleet fleet = new StreamFleet(9, 4, seed, OLD, NEW);
        fleet.run(Duration.ofSeconds(2), 20);
        for (int number = 1; number <= 2; number++) {
            fleet.startServer(StreamFleet.upstream(OLD, number), NEW);
            fleet.run(Duration.ofSeconds(2), 20);
            fleet.kill(fleet.node(number));
            fleet.startServer(StreamFleet.upstream(NEW, number), OLD);
            fleet.run(Duration.ofSeconds(2), 20);
            fleet.restart(fleet.node(number));
        }
        verify(fleet, 0.5);
    }

    private static void verify(StreamFleet fleet, double least) {
        fleet.run(LONGEST_STREAM, 0);
        assertThat(fleet.mixedStreams())
                .as("streams with events of two versions")
                .isEmpty();
        assertThat(fleet.brokenStreams())
                .as("streams with missing or repeated events")
                .isEmpty();
        StreamFleet.Tally taken = fleet.takenUp();
        StreamFleet.Tally begun = fleet.begun();
        assertThat(taken.share())
                .as("streams that went on %s, streams that began %s", taken, begun)
                .isGreaterThanOrEqualTo(least * begun.share());
    }
}
