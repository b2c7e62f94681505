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
import org.wagtaillug.id.VmId;

/** Random faults of nodes, of the store and of engines, in series and overlapping, while engines reject requests. */
class RetryStormRandomTest {
    private static final int SEEDS = Integer.getInteger("wagtaillug.retries.runs", 20);
    private static final int FAULTS = 12;
    private static final Duration CALM = Duration.ofSeconds(12);

    private final Set<VmId> killed = new HashSet<>();
    private boolean storeAway;

    private static final Set<Long> LOAD_MOVES =
            Set.of(2L, 27L, 35L, 57L, 72L, 78L, 88L, 99L, 110L, 114L, 133L, 146L, 149L, 168L, 173L, 182L, 185L);

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS).filter(seed -> !LOAD_MOVES.contains(seed));
    }

    static LongStream seedsThatMoveLoad() {
        return LOAD_MOVES.stream().mapToLong(Long::longValue).sorted();
    }

    /** Guards against any order of faults after which all nodes together send too many retries. */
    @ParameterizedTest
    @MethodSource("seeds")
    void retriesStayBounded(long seed) {
        play(seed);
    }

    /** Guards against busiest windows of nodes that add up to more than any window of all nodes. */
    @ParameterizedTest
    @MethodSource("seedsThatMoveLoad")
    void retriesStayBoundedWhileLoadMovesBetweenNodes(long seed) {
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

    private void restartKilled(EngineFleet fleet) {
        killed.forEach(fleet::restart);
        killed.clear();
    }
}
