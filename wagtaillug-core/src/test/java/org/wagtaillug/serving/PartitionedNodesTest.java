package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.id.VmId;

/** Nodes that cannot connect to any upstream, while callers, the store and the other nodes reach them. */
class PartitionedNodesTest {
    private static final Duration DETECTION = Duration.ofSeconds(3);
    private static final Duration CUT = Duration.ofSeconds(12);
    private static final Duration LONGEST_REQUEST = Duration.ofSeconds(6);
    private static final double MIN_RELATIVE_SERVICE = 2.0 / 3;
    private static final int FIXED_FAILURES = 10;
    private static final int FAILURES_PER = 50;

    /** Guards against nodes that refuse all requests, or that keep scheduling for others, while they reach no upstream. */
    @ParameterizedTest
    @CsvSource({
        "3, 1, 3, 400, 6, 1",
        "9, 2, 3, 400, 40, 2",
        "9, 6, 3, 400, 40, 3",
        "9, 6, 3, 2, 40, 4",
        "9, 8, 3, 400, 20, 5",
        "9, 6, 1, 400, 20, 6",
        "30, 20, 8, 400, 60, 7",
        "60, 12, 8, 2, 60, 8",
        "77, 52, 12, 400, 80, 9",
        "77, 52, 12, 2, 80, 10",
        "77, 26, 12, 400, 80, 12"
    })
    void callersOfNodesWithoutUpstreamsAreServedLikeOthers(
            int nodes, int cutNodes, int upstreams, long connectMillis, double rate, long seed) {
        play(new PartitionedFleet(nodes, upstreams, seed), cutNodes, connectMillis, rate);
    }

    /** Guards against nodes that do not notice a partition in which connections open and are reset before any answer. */
    @ParameterizedTest
    @CsvSource({"9, 2, 3, 40, 2", "9, 6, 3, 40, 3", "77, 52, 12, 80, 9"})
    void callersOfNodesWhoseConnectionsAreResetAreServedLikeOthers(
            int nodes, int cutNodes, int upstreams, double rate, long seed) {
        PartitionedFleet fleet = new PartitionedFleet(nodes, upstreams, seed);
        fleet.world.resetsAfterConnect = true;
        play(fleet, cutNodes, PartitionedFleet.REFUSED_CONNECT.toMillis(), rate);
    }

    private static void play(PartitionedFleet fleet, int cutNodes, long connectMillis, double rate) {
        fleet.run(Duration.ofSeconds(4), rate);
        Set<VmId> cut = fleet.randomNodes(cutNodes);
        fleet.partition(cut, Duration.ofMillis(connectMillis));
        Instant counted = fleet.world.now.plus(DETECTION);
        fleet.run(CUT, rate);
        Instant end = fleet.world.now;
        fleet.heal();
        fleet.run(LONGEST_REQUEST, rate);
        PartitionedFleet.Tally inside = fleet.tally(cut, false, counted, end);
        PartitionedFleet.Tally outside = fleet.tally(cut, true, counted, end);
        boolean alike = inside.share() >= outside.share() * MIN_RELATIVE_SERVICE;
        int allowed = FIXED_FAILURES + (inside.sent() + outside.sent()) / FAILURES_PER;
        assertThat(alike || inside.failed() <= allowed)
                .as("partitioned nodes served %s, the others %s", inside, outside)
                .isTrue();
        assertThat(outside.share()).as("the others served %s", outside).isGreaterThan(0.9);
    }
}
