package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.result.RunState;

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

    /** Guards against an attempt that resumes, brings no event and makes the next one start from the beginning. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eventsAreNotRepeatedWhenAttemptsToResumeBreakBeforeTheirFirstEvent(long seed) {
        StreamFleet fleet = new StreamFleet(9, 4, seed, OLD, NEW);
        fleet.brokenResumptions = 0.5;
        fleet.run(Duration.ofSeconds(2), 20);
        for (int number = 1; number <= 3; number++) {
            fleet.crash(StreamFleet.upstream(OLD, number));
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofSeconds(2), 20);
            fleet.startServer(StreamFleet.upstream(OLD, number), OLD);
            fleet.restart(fleet.node(number));
            fleet.run(Duration.ofSeconds(1), 20);
        }
        verify(fleet, 0.5);
    }

    /** Guards against a candidate version under test that gets more than its share by streams that go on there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aCandidateUnderTestGetsNoResumedStreams(long seed) {
        StreamFleet fleet = new StreamFleet(9, 3, seed, OLD);
        fleet.world.orderRollout(ServingWorld.MODEL, NEW, Duration.ofSeconds(60));
        for (int number = 1; number <= 3; number++) {
            fleet.startServer(StreamFleet.upstream(NEW, number), NEW);
        }
        fleet.run(Duration.ofSeconds(6), 40);
        fleet.crash(StreamFleet.upstream(NEW, 1));
        fleet.crash(StreamFleet.upstream(OLD, 1));
        fleet.kill(fleet.node(2));
        fleet.run(Duration.ofSeconds(3), 40);
        assertThat(fleet.begunAt(NEW)).isPositive();
        assertThat(fleet.resumedAttempts(OLD)).isPositive();
        assertThat(fleet.resumedAttempts(NEW)).isZero();
        assertThat(fleet.mixedStreams()).isEmpty();
    }

    /** Guards against a fleet of two builds in which streams are mixed, or do not go on between nodes of the later one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void nodesOfTwoBuildsDoNotMixVersions(long seed) {
        StreamFleet fleet = new StreamFleet(9, 3, seed, OLD, NEW);
        for (int number = 1; number <= 4; number++) {
            fleet.world.earlierBuilds.add(fleet.node(number));
        }
        fleet.run(Duration.ofSeconds(4), 20);
        for (int number = 5; number <= 9; number++) {
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofMillis(700), 20);
            fleet.restart(fleet.node(number));
            fleet.run(Duration.ofMillis(800), 20);
        }
        fleet.run(LONGEST_STREAM, 0);
        assertThat(fleet.mixedStreams()).isEmpty();
        assertThat(fleet.brokenStreams()).isEmpty();
        assertThat(fleet.takenUp().served()).isPositive();
    }

    /** Guards against callers that wait for a stream of a route whose streams cannot be resumed. */
    @Test
    void aStreamOfARouteThatCannotResumeIsRefusedAtOnce() {
        StreamFleet fleet = new StreamFleet(3, 2, 1, OLD, NEW);
        RequestId request = new RequestId("second");
        fleet.world.stream(
                fleet.node(2),
                request,
                "draft",
                Duration.ofSeconds(4),
                Optional.of(new Resumption("2", Optional.of(new RequestId("first")))));
        assertRefused(fleet, request);
    }

    /** Guards against callers that wait, or are served by another version, when no upstream of theirs is left. */
    @Test
    void aStreamWhoseVersionHasLeftIsRefusedAtOnceAsNotRun() {
        StreamFleet fleet = new StreamFleet(3, 2, 1, OLD, NEW);
        RequestId first = fleet.beginStream(fleet.node(1));
        fleet.run(Duration.ofMillis(500), 0);
        boolean old = fleet.world.sends(first).getFirst().upstream().version().equals(OLD);
        fleet.leave(StreamFleet.upstream(old ? OLD : NEW, 1));
        fleet.leave(StreamFleet.upstream(old ? OLD : NEW, 2));
        fleet.run(Duration.ofSeconds(1), 0);
        RequestId second = new RequestId("second");
        fleet.world.stream(
                fleet.node(2),
                second,
                "question",
                Duration.ofSeconds(4),
                Optional.of(new Resumption("2", Optional.of(first))));
        fleet.world.run(Duration.ofMillis(40));
        assertRefused(fleet, second);
    }

    /** Guards against callers that make a node guess a version, or wait, by naming a stream that nobody knows. */
    @Test
    void aStreamThatNoNodeKnowsIsRefusedSoonAsNotRun() {
        StreamFleet fleet = new StreamFleet(9, 2, 1, OLD, NEW);
        RequestId request = new RequestId("second");
        fleet.world.stream(
                fleet.node(2),
                request,
                "question",
                Duration.ofSeconds(4),
                Optional.of(new Resumption("2", Optional.of(new RequestId("never-sent")))));
        fleet.world.run(Duration.ofMillis(300));
        assertRefused(fleet, request);
    }

    private static void assertRefused(StreamFleet fleet, RequestId request) {
        assertThat(fleet.world.sends(request)).isEmpty();
        assertThat(fleet.world.refusals(request)).hasSize(1);
        Refusal refusal = fleet.world.refusals(request).getFirst().refusal();
        assertThat(refusal.code()).isEqualTo(ResultCode.STREAM_NOT_RESUMABLE);
        assertThat(refusal.run()).isEqualTo(RunState.NOT_RUN);
    }

    /** Guards against callers of an earlier build, which name no stream, that are refused although there is one version. */
    @ParameterizedTest
    @CsvSource({"v1, v1, true", "v1, v2, false"})
    void aStreamThatIsNotNamedGoesOnOnlyWhereAllUpstreamsAreOfOneVersion(String one, String other, boolean served) {
        StreamFleet fleet = new StreamFleet(3, 1, 1, one);
        fleet.startServer(new VmId("model-other"), other);
        fleet.run(Duration.ofSeconds(62), 0);
        RequestId request = new RequestId("second");
        fleet.world.stream(
                fleet.node(2),
                request,
                "question",
                Duration.ofSeconds(4),
                Optional.of(new Resumption("2", Optional.empty())));
        fleet.world.run(Duration.ofMillis(40));
        assertThat(fleet.world.sends(request)).hasSize(served ? 1 : 0);
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
