package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.id.VmId;

/** Random faults of nodes, of the store and of engines, in series and overlapping, while prompts crash engines. */
class CrashingPromptsRandomTest {
    private static final int SEEDS = Integer.getInteger("wagtaillug.quarantine.runs", 24);
    private static final int FAULTS = 14;
    private static final Duration CALM = Duration.ofSeconds(6);
    private static final double SOUND_PER_SECOND = 20;

    private final Set<VmId> killed = new HashSet<>();
    private boolean storeAway;
    private Optional<VmId> isolated = Optional.empty();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    /** Guards against any order of faults after which prompts that crash engines are sent on, or sound ones refused. */
    @ParameterizedTest
    @MethodSource("seeds")
    void promptsThatCrashEnginesAreStopped(long seed) {
        play(seed);
    }

    /** Guards against crashes whose reports are lost with their nodes, and segments that are present at each crash. */
    @ParameterizedTest
    @ValueSource(longs = {61, 135, 139, 284, 288})
    void promptsAreStoppedThoughReportsAreLostOrCannotTellSegmentsApart(long seed) {
        play(seed);
    }

    private void play(long seed) {
        Random random = new Random(seed);
        int nodes = 3 + random.nextInt(12);
        EngineFleet fleet = new EngineFleet(nodes, 6 + random.nextInt(12), seed);
        fleet.crashingSegment = Optional.of("crashing");
        fleet.crashingSegmentFirst = random.nextBoolean();
        fleet.run(CALM, SOUND_PER_SECOND, 0);
        Instant from = fleet.world.now;
        double crashingPerSecond = 0.5 + 6 * random.nextDouble();
        for (int fault = 0; fault < FAULTS; fault++) {
            inject(fleet, nodes, random);
            fleet.run(Duration.ofMillis(200 + random.nextInt(1500)), SOUND_PER_SECOND, crashingPerSecond);
        }
        endFaults(fleet);
        fleet.run(CALM, SOUND_PER_SECOND, crashingPerSecond);
        Instant calmAgain = fleet.world.now;
        fleet.run(CALM, SOUND_PER_SECOND, crashingPerSecond);
        assertThat(fleet.lateCrashingSends())
                .as(
                        "sends too long after the fifth of %s crashes",
                        fleet.crashes().size())
                .hasSizeLessThanOrEqualTo(EngineFleet.ALLOWED_SENDS);
        double usual = fleet.sound(ServingWorld.START, from).share();
        assertThat(fleet.sound(calmAgain, fleet.world.now).share())
                .as("share of sound requests that began")
                .isGreaterThan(usual / 2);
    }

    private void inject(EngineFleet fleet, int nodes, Random random) {
        VmId node = fleet.node(1 + random.nextInt(nodes));
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                if (!storeAway || killed.size() < nodes - 1) {
                    fleet.kill(node);
                    killed.add(node);
                }
            }
            case 2 -> {
                if (storeAway) {
                    // Without the store, nobody can know what all nodes have forgotten together.
                    return;
                }
                for (int number = 1; number <= nodes; number++) {
                    fleet.kill(fleet.node(number));
                    killed.add(fleet.node(number));
                }
                fleet.run(Duration.ofMillis(500), SOUND_PER_SECOND, 0);
                restartKilled(fleet);
            }
            case 3, 4 -> restartKilled(fleet);
            case 5 -> fleet.crashEngines(1 + random.nextInt(4));
            case 6 -> {
                // A node without contact to others and to the store cannot know anything.
                if (isolated.isEmpty()) {
                    storeAway = !storeAway;
                    fleet.setStoreAway(storeAway);
                }
            }
            case 7 -> {
                if (isolated.isPresent()) {
                    fleet.setIsolated(isolated.get(), false);
                    isolated = Optional.empty();
                } else if (!storeAway) {
                    fleet.setIsolated(node, true);
                    isolated = Optional.of(node);
                }
            }
            default -> fleet.crashesLookLikeEnds = !fleet.crashesLookLikeEnds;
        }
    }

    private void restartKilled(EngineFleet fleet) {
        killed.forEach(fleet::restart);
        killed.clear();
    }

    private void endFaults(EngineFleet fleet) {
        restartKilled(fleet);
        fleet.setStoreAway(false);
        isolated.ifPresent(node -> fleet.setIsolated(node, false));
    }
}
