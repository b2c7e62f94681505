package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.id.VmId;

/** Random faults of nodes, of the store and of engines, in series and overlapping, while engines reject requests. */
class RetryStormRandomTest {
    private static final int SEEDS = Integer.getInteger("wagtaillug.retries.runs", 20);
    private static final int FAULTS = 12;
    private static final Duration CALM = Duration.ofSeconds(12);

    /** Seeds in which load moves between nodes, whose busiest windows then add up to more than any window of all nodes. */
    private static final long[] LOAD_MOVES = {2, 27, 35, 57, 72, 78, 88, 99, 110, 114, 146, 149, 168, 173, 182, 185};

    /** A seed that exceeds the bound. */
    private static final long EXCESSIVE = 133;

    private final Set<VmId> killed = new HashSet<>();
    private boolean storeAway;
    private boolean stepsWallClocks;

    static LongStream seeds() {
        return LongStream.concat(LongStream.rangeClosed(1, SEEDS), LongStream.of(LOAD_MOVES))
                .filter(seed -> seed != EXCESSIVE)
                .distinct();
    }

    /** Guards against any order of faults after which all nodes together send too many retries. */
    @ParameterizedTest
    @MethodSource("seeds")
    void retriesStayBounded(long seed) {
        play(seed);
    }

    /** Guards against busiest windows of nodes that add up to more than any window of all nodes. */
    @ParameterizedTest
    @ValueSource(longs = EXCESSIVE)
    void retriesStayBoundedWhileLoadMovesBetweenNodes(long seed) {
        play(seed);
    }

    /** Guards against any series of steps of wall clocks, beside other faults, after which nodes send too many retries. */
    @ParameterizedTest
    @MethodSource("seeds")
    void retriesStayBoundedWhileWallClocksAreSet(long seed) {
        stepsWallClocks = true;
        play(seed);
    }

    private void play(long seed) {
        Random random = new Random(seed);
        int nodes = 3 + random.nextInt(20);
        double soundPerSecond = 30 + random.nextInt(60);
        EngineFleet fleet = new EngineFleet(nodes, 8 + random.nextInt(16), seed);
        fleet.run(CALM, soundPerSecond, 0);
        if (random.nextInt(3) == 0) {
            fleet.crashingSegment = Optional.of("crashing");
        }
        for (int fault = 0; fault < FAULTS; fault++) {
            inject(fleet, nodes, random);
            if (stepsWallClocks) {
                stepWallClocks(fleet, nodes, random);
            }
            fleet.run(Duration.ofMillis(200 + random.nextInt(2500)), soundPerSecond, 4);
        }
        restartKilled(fleet);
        fleet.run(CALM, soundPerSecond, 4);
        assertThat(fleet.arrivals.excesses())
                .as("windows with too many retries")
                .isEmpty();
    }

    private void inject(EngineFleet fleet, int nodes, Random random) {
        VmId node = fleet.node(1 + random.nextInt(nodes));
        switch (random.nextInt(8)) {
            case 0 -> {
                fleet.kill(node);
                killed.add(node);
            }
            case 1, 2 -> {
                for (int number = 1; number <= nodes; number++) {
                    fleet.kill(fleet.node(number));
                    killed.add(fleet.node(number));
                }
                fleet.run(Duration.ofMillis(300), 30, 0);
                restartKilled(fleet);
            }
            case 3 -> restartKilled(fleet);
            case 4 -> fleet.crashEngines(1 + random.nextInt(10));
            case 5 -> {
                storeAway = !storeAway;
                fleet.setStoreAway(storeAway);
            }
            default -> fleet.rejectedShare = random.nextDouble();
        }
    }

    /** Sets the wall clocks of all nodes or of some of them by a second to a minute, ahead or back. */
    private static void stepWallClocks(EngineFleet fleet, int nodes, Random random) {
        if (random.nextBoolean()) {
            return;
        }
        double share = random.nextBoolean() ? 1 : random.nextDouble();
        long stepMillis = (long) (1000 * Math.pow(60, random.nextDouble())) * (random.nextInt(3) == 0 ? -1 : 1);
        for (int number = 1; number <= nodes; number++) {
            if (random.nextDouble() < share) {
                fleet.stepWallClock(fleet.node(number), Duration.ofMillis(stepMillis));
            }
        }
    }

    private void restartKilled(EngineFleet fleet) {
        killed.forEach(fleet::restart);
        killed.clear();
    }
}
