package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.VmId;

/** Random partitions of nodes from all upstreams, one after the other, with restarts of nodes in between. */
class PartitionedNodesRandomTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.partition.runs", 20);
    private static final Duration DETECTION = Duration.ofSeconds(3);
    private static final Duration LONGEST_REQUEST = Duration.ofSeconds(6);
    private static final double MIN_RELATIVE_SERVICE = 2.0 / 3;
    private static final int FIXED_FAILURES = 10;
    private static final int FAILURES_PER = 50;

    /** Guards against nodes without a path that serve far fewer first tries than others, in any order of partitions. */
    @Test
    void partitionedNodesServeLikeOthers() {
        for (long seed = 1; seed <= RUNS; seed++) {
            play(seed);
        }
    }

    private static void play(long seed) {
        Random random = new Random(seed);
        int nodes = 3 + random.nextInt(14);
        PartitionedFleet fleet = new PartitionedFleet(nodes, 1 + random.nextInt(8), seed);
        double rate = 2.0 * nodes + random.nextInt(3 * nodes);
        fleet.run(Duration.ofSeconds(3), rate);
        for (int cut = 0; cut < 3; cut++) {
            Set<VmId> partitioned = fleet.randomNodes(1 + random.nextInt(nodes - 1));
            boolean hangs = random.nextBoolean();
            fleet.partition(partitioned, hangs ? PartitionedFleet.HANGING_CONNECT : PartitionedFleet.REFUSED_CONNECT);
            Instant counted = fleet.world.now.plus(DETECTION);
            fleet.run(Duration.ofSeconds(6 + random.nextInt(6)), rate);
            Instant end = fleet.world.now;
            if (random.nextBoolean()) {
                fleet.heal();
                fleet.run(Duration.ofMillis(500 + random.nextInt(4000)), rate);
            }
            check(fleet, partitioned, counted, end, seed);
        }
        fleet.heal();
        fleet.run(LONGEST_REQUEST, rate);
        Instant healed = fleet.world.now;
        fleet.run(Duration.ofSeconds(2), rate);
        Instant end = fleet.world.now;
        fleet.run(LONGEST_REQUEST, 0);
        assertThat(fleet.tally(Set.of(), true, healed, end).share())
                .as("served after the partitions, seed %d", seed)
                .isGreaterThan(0.95);
    }

    /** Requests of the last second may still be in progress. */
    private static void check(PartitionedFleet fleet, Set<VmId> cut, Instant counted, Instant end, long seed) {
        Instant finished = end.minus(Duration.ofSeconds(1));
        PartitionedFleet.Tally inside = fleet.tally(cut, false, counted, finished);
        PartitionedFleet.Tally outside = fleet.tally(cut, true, counted, finished);
        boolean alike = inside.share() >= outside.share() * MIN_RELATIVE_SERVICE;
        int allowed = FIXED_FAILURES + (inside.sent() + outside.sent()) / FAILURES_PER;
        assertThat(alike || inside.failed() <= allowed)
                .as("seed %d: partitioned nodes served %s, the others %s", seed, inside, outside)
                .isTrue();
    }
}
