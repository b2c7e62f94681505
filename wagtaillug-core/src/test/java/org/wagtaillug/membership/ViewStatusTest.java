package org.wagtaillug.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.configuration.Samples;
import org.wagtaillug.membership.RosterSimulation.SimulatedNode;

/** Nine nodes in three failure domains, and what each assumes about its view while the log or the links fail. */
class ViewStatusTest {
    private final RosterSimulation simulation = new RosterSimulation(7);

    private void startNine() {
        for (int node = 0; node < 9; node++) {
            simulation.start("entry-" + node, List.of("pl-a", "pl-b", "pl-c").get(node % 3));
        }
        simulation.run(10_000);
        assertThat(simulation.nodes).allMatch(node -> viewStatus(node) == ViewStatus.FRESH);
    }

    private static ViewStatus viewStatus(SimulatedNode node) {
        return node.members.viewStatus(node.clock());
    }

    /** How often each status was seen at the selected nodes, sampled every 10 ms. */
    private Map<ViewStatus, Integer> sample(long length, Predicate<SimulatedNode> selected) {
        Map<ViewStatus, Integer> counts = new EnumMap<>(ViewStatus.class);
        for (long end = simulation.time + length; simulation.time < end; ) {
            simulation.run(10);
            for (SimulatedNode node : simulation.nodes) {
                if (selected.test(node)) {
                    counts.merge(viewStatus(node), 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    /**
     * Guards against all nodes leaving the balancer at once in an outage of the log because each considers itself cut
     * off. They must learn from one another that no node reaches the log before their leases expire, whether it refuses
     * requests or does not answer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLogOutageCutsNoNodeOff(boolean unresponsive) {
        startNine();
        simulation.logDown = !unresponsive;
        simulation.logUnresponsive = unresponsive;
        assertThat(sample(30_000, node -> true)).containsOnlyKeys(ViewStatus.FRESH, ViewStatus.LOG_OUTAGE);
        simulation.logDown = false;
        simulation.logUnresponsive = false;
        assertThat(sample(10_000, node -> true)).containsOnlyKeys(ViewStatus.FRESH, ViewStatus.LOG_OUTAGE);
        assertThat(simulation.nodes).allMatch(node -> viewStatus(node) == ViewStatus.FRESH);
    }

    /**
     * The log answers after four seconds: each answer is older than a lease, but all nodes are at the same position.
     */
    @Test
    void aSlowLogCutsNoNodeOff() {
        startNine();
        simulation.logDelay = 4_000;
        assertThat(sample(60_000, node -> true)).containsOnlyKeys(ViewStatus.FRESH, ViewStatus.LOG_OUTAGE);
    }

    /** A single node, or a whole domain, loses the log and the other nodes while operators continue to make changes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void nodesThatAreCutOffReportIt(int count) {
        startNine();
        Predicate<SimulatedNode> isolated =
                node -> simulation.nodes.indexOf(node) % 3 == 0 && simulation.nodes.indexOf(node) / 3 < count;
        simulation.isolate(isolated);
        simulation.run(6_000);
        assertThat(sample(5_000, isolated)).containsOnlyKeys(ViewStatus.CUT_OFF);
        assertThat(sample(5_000, isolated.negate())).containsOnlyKeys(ViewStatus.FRESH);
    }

    /**
     * Guards against a node without the log that keeps sending work to a zone that was taken out of service. Its peers
     * must tell it.
     */
    @Test
    void aNodeWithoutTheLogLearnsFromItsPeers() {
        startNine();
        SimulatedNode nodeWithoutLog = simulation.nodes.getFirst();
        nodeWithoutLog.cutOffFromLog = true;
        simulation.run(5_000);
        simulation.log.append(Samples.change("anita", "c", 0, Samples.service(true)), nodeWithoutLog.clock());
        simulation.run(2_000);
        assertThat(viewStatus(nodeWithoutLog)).isEqualTo(ViewStatus.FRESH);
        assertThat(simulation.nodes).allMatch(node -> !node.state.inService(Samples.upstream("engine-1", "pl-a")));
    }
}
