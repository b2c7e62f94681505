package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtaillug.id.VmId;

/** Random upgrades and restarts of nodes, while callers take streams up without naming them. */
class UnnamedStreamsRandomTest {
    private static final int SEEDS = Integer.getInteger("wagtaillug.streams.runs", 24);
    private static final int FAULTS = 16;
    private static final int UPSTREAMS = 3;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    /** Guards against any order of upgrades and faults after which a stream holds events of two versions. */
    @ParameterizedTest
    @MethodSource("seeds")
    void streamsThatAreNotNamedHoldTheEventsOfOneVersion(long seed) {
        Random random = new Random(seed);
        int nodes = 3 + random.nextInt(10);
        StreamFleet fleet = new StreamFleet(nodes, UPSTREAMS, seed, "v1");
        fleet.callersNameStreams = false;
        fleet.run(Duration.ofSeconds(2), 15);
        Set<VmId> killed = new HashSet<>();
        int version = 1;
        for (int fault = 0; fault < FAULTS; fault++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    version++;
                    for (int number = 1; number <= UPSTREAMS; number++) {
                        fleet.startServer(StreamFleet.upstream("v" + version, number), "v" + version);
                    }
                }
                case 1 -> {
                    for (int earlier = 1; earlier < version; earlier++) {
                        for (int number = 1; number <= UPSTREAMS; number++) {
                            fleet.remove(StreamFleet.upstream("v" + earlier, number));
                        }
                    }
                }
                case 2 -> {
                    for (int number = 1; number <= nodes; number++) {
                        fleet.kill(fleet.node(number));
                        killed.add(fleet.node(number));
                    }
                }
                case 3 -> {
                    VmId node = fleet.node(1 + random.nextInt(nodes));
                    fleet.kill(node);
                    killed.add(node);
                }
                default -> {
                    killed.forEach(fleet::restart);
                    killed.clear();
                }
            }
            fleet.run(Duration.ofMillis(200 + random.nextInt(1500)), 15);
        }
        killed.forEach(fleet::restart);
        fleet.run(Duration.ofSeconds(7), 15);
        assertThat(fleet.mixedStreams())
                .as("streams with events of several versions")
                .isEmpty();
    }
}
