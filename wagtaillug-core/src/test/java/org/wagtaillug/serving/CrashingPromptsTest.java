package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests with a segment in their prompts that ends each engine that answers them, beside sound requests. */
class CrashingPromptsTest {
    private static final Duration CALM = Duration.ofSeconds(6);
    private static final String SEGMENT = "crashing";

    /** Guards against nodes that send prompts with a segment on after these have ended five engines. */
    @ParameterizedTest
    @CsvSource({"3, 6, 3, 1", "9, 8, 4, 2", "9, 8, 0.5, 3", "77, 24, 8, 4", "95, 56, 15, 5"})
    void promptsThatCrashEnginesAreStopped(int nodes, int engines, double crashingPerSecond, long seed) {
        for (boolean first : new boolean[] {false, true}) {
            EngineFleet fleet = start(nodes, engines, seed);
            fleet.crashingSegmentFirst = first;
            fleet.run(Duration.ofSeconds(30), 20, crashingPerSecond);
            verify(fleet);
        }
    }

    /** Guards against nodes that forget a segment when they are restarted in series, and crash five more engines. */
    @ParameterizedTest
    @CsvSource({"9, 2", "77, 3"})
    void promptsStayStoppedWhenNodesAreRestartedInSeries(int nodes, long seed) {
        EngineFleet fleet = start(nodes, 8, seed);
        fleet.run(Duration.ofSeconds(5), 20, 4);
        for (int number = 1; number <= Math.min(nodes, 12); number++) {
            fleet.kill(fleet.node(number));
            fleet.run(Duration.ofMillis(800), 20, 4);
            fleet.restart(fleet.node(number));
            fleet.run(Duration.ofMillis(700), 20, 4);
        }
        verify(fleet);
    }

    /** Guards against nodes that forget a segment when half or all of them are killed together. */
    @ParameterizedTest
    @CsvSource({"9, 5, 1", "9, 9, 2", "30, 30, 3", "95, 48, 4"})
    void promptsStayStoppedWhenManyNodesAreKilledTogether(int nodes, int killed, long seed) {
        EngineFleet fleet = start(nodes, 8, seed);
        for (int round = 0; round < 2; round++) {
            fleet.run(Duration.ofSeconds(6), 20, 4);
            for (int number = 1; number <= killed; number++) {
                fleet.kill(fleet.node(number));
            }
            fleet.run(Duration.ofSeconds(1), 20, 4);
            for (int number = 1; number <= killed; number++) {
                fleet.restart(fleet.node(number));
            }
        }
        fleet.run(Duration.ofSeconds(12), 20, 4);
        verify(fleet);
    }

    /** Guards against nodes that pool what they see only by way of the store. */
    @ParameterizedTest
    @CsvSource({"9, 1", "77, 2"})
    void promptsAreStoppedWhileTheStoreIsAway(int nodes, long seed) {
        EngineFleet fleet = start(nodes, 8, seed);
        fleet.setStoreAway(true);
        fleet.run(Duration.ofSeconds(15), 20, 4);
        fleet.setStoreAway(false);
        fleet.run(Duration.ofSeconds(15), 20, 4);
        verify(fleet);
    }

    /** Guards against nodes that pool what they see only by way of other nodes, and against a trial by each node that hears of none. */
    @ParameterizedTest
    @CsvSource({
        "9, 1, 1",
        "9, 2, 2",
        "30, 3, 3",
        "30, 3, 1",
        "30, 3, 8",
        "30, 3, 19",
        "30, 3, 30",
        "30, 3, 60",
        "30, 3, 96",
        "77, 6, 1"
    })
    void promptsAreStoppedAtNodesThatReachOnlyTheStore(int nodes, int isolated, long seed) {
        EngineFleet fleet = start(nodes, 8, seed);
        for (int number = 1; number <= isolated; number++) {
            fleet.setIsolated(fleet.node(number), true);
        }
        fleet.run(Duration.ofSeconds(5), 20, 0);
        fleet.run(Duration.ofSeconds(25), 20, 4);
        verify(fleet);
    }

    /** Guards against engines whose crash between two events passes for the end of an answer without a length or chunks. */
    @ParameterizedTest
    @CsvSource({"3, 6, 3, 1", "9, 8, 4, 2", "77, 24, 8, 4"})
    void promptsAreStoppedWhereCrashesLookLikeEnds(int nodes, int engines, double crashingPerSecond, long seed) {
        EngineFleet fleet = start(nodes, engines, seed);
        fleet.crashesLookLikeEnds = true;
        fleet.run(Duration.ofSeconds(30), 20, crashingPerSecond);
        verify(fleet);
    }

    /** Guards against sound segments that are refused because engines end for other reasons. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void soundPromptsAreServedWhileEnginesEndForOtherReasons(long seed) {
        EngineFleet fleet = new EngineFleet(9, 8, seed);
        fleet.probesFindEnds = false;
        assertThat(shareAfterStorm(fleet)).as("share that began later").isGreaterThan(0.95);
    }

    /** Guards against sound segments that are refused because nodes find that all engines have ended. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void soundPromptsAreServedWhileProbesFindThatEnginesHaveEnded(long seed) {
        EngineFleet fleet = new EngineFleet(9, 8, seed);
        assertThat(shareAfterStorm(fleet)).as("share that began later").isGreaterThan(0.5);
    }

    /** Ends engines of a fleet again and again; returns the share of later requests that began at the first try. */
    private static double shareAfterStorm(EngineFleet fleet) {
        fleet.run(CALM, 20, 0);
        Instant from = fleet.world.now;
        double usual = fleet.sound(ServingWorld.START, from).share();
        for (int crash = 0; crash < 12; crash++) {
            fleet.crashEngines(1 + crash % 4);
            fleet.run(Duration.ofMillis(crash % 2 == 0 ? 300 : 2500), 20, 0);
        }
        Instant until = fleet.world.now;
        fleet.run(CALM, 20, 0);
        assertThat(fleet.sound(from, until).share()).as("share that began").isGreaterThan(usual / 2);
        return fleet.sound(until, fleet.world.now).share();
    }

    private static EngineFleet start(int nodes, int engines, long seed) {
        EngineFleet fleet = new EngineFleet(nodes, engines, seed);
        fleet.crashingSegment = Optional.of(SEGMENT);
        fleet.run(CALM, 20, 0);
        return fleet;
    }

    private static void verify(EngineFleet fleet) {
        Instant calmFrom = ServingWorld.START;
        double usual = fleet.sound(calmFrom, fleet.crashes().getFirst().minusSeconds(1))
                .share();
        assertThat(fleet.lateCrashingSends())
                .as(
                        "sends too long after the fifth of %s crashes",
                        fleet.crashes().size())
                .hasSizeLessThanOrEqualTo(EngineFleet.ALLOWED_SENDS);
        Instant from = fleet.lastCountedCrash().plus(EngineFleet.CONTACT.multipliedBy(2));
        EngineFleet.Tally later = fleet.sound(from, fleet.world.now);
        assertThat(later.requests()).as("sound requests later").isGreaterThan(20);
        assertThat(later.share()).as("share of sound requests that began").isGreaterThan(usual / 2);
        for (String first : fleet.firstSegments()) {
            assertThat(fleet.sound(first, from, fleet.world.now).share())
                    .as("share of sound requests with the first segment %s that began", first)
                    .isGreaterThan(usual / 2);
        }
    }
}
