package org.wagtaillug.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtaillug.configuration.ControlLog;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.configuration.FakeLog;
import org.wagtaillug.configuration.Samples;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.log.LogRecord.RosterChange;
import org.wagtaillug.log.LogRecord.RosterChangeKind;
import org.wagtaillug.membership.RosterSimulation.SimulatedNode;
import org.wagtaillug.node.Effects;

/**
 * Guards against an overload of a cold upstream by two nodes that both consider themselves its owner. This comes about
 * when views of the roster differ: a node is cut off from the log or paused past its lease while the others remove it,
 * an append takes effect long after its response was lost, the log is unavailable or slow, or a node comes back on the
 * same VM.
 */
class OwnershipSafetyTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.ownership.runs", 1_000);
    private static final long FIRST_SEED = Long.getLong("wagtaillug.ownership.seed", 1);
    private static final List<String> DOMAINS = List.of("pl-a", "pl-b", "pl-c");

    @Test
    void twoNodesNeverGrantForOneUpstreamAtTheSameTime() {
        long grants = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            RosterSimulation simulation = runWithFaults(seed);
            assertThat(simulation.violations).as("seed %s", seed).isEmpty();
            grants += simulation.grantCount;
        }
        assertThat(grants)
                .as("grants seen, since runs without grants would prove nothing")
                .isGreaterThan(1_000L * RUNS);
    }

    @Test
    void everyUpstreamIsGrantedAgainByOneNodeAfterFaults() {
        for (long seed = 1; seed <= 50; seed++) {
            RosterSimulation simulation = runWithFaults(seed);
            simulation.heal(Duration.ofSeconds(90));
            assertThat(simulation.violations).as("seed %s", seed).isEmpty();
            for (Vm upstream : simulation.upstreams) {
                long granting = simulation.nodes.stream()
                        .filter(node -> !node.dead && node.members.mayGrant(upstream, node.clock()))
                        .count();
                assertThat(granting).as("seed %s, %s", seed, upstream.id()).isEqualTo(1);
            }
        }
    }

    /**
     * The clock of the old owner is 2 % slow and that of the new one 2 % fast: the first considers its lease valid for
     * longer, the second considers its wait over sooner. The last grant of the old owner must have expired all the
     * same.
     */
    @Test
    void theHandoverOutlastsALeaseAndAGrantOnClocksOfDifferentRates() {
        FakeLog stream = new FakeLog();
        for (int number = 1; number <= 2; number++) {
            NodeId node = Samples.node(number);
            stream.append(
                    new RosterChange(RosterChangeKind.JOIN, node, node, Optional.of(Samples.ADDRESS)), Instant.EPOCH);
        }
        ControlLog oldLog = log(1);
        ControlLog newLog = log(2);
        Members oldOwner = new Members(oldLog, List.of());
        Members newOwner = new Members(newLog, List.of());
        Instant changed = Instant.EPOCH.plusSeconds(60);
        oldLog.onLogRead(Instant.EPOCH, stream.read(1, 10), Instant.EPOCH, new Effects());
        oldLog.onLogRead(changed, stream.read(3, 10), changed, new Effects());
        Vm upstream = ownedBy(oldOwner);
        NodeId leavingNode = Samples.node(1);
        stream.append(new RosterChange(RosterChangeKind.LEAVE, leavingNode, leavingNode, Optional.empty()), changed);
        newLog.onLogRead(changed, stream.read(1, 10), changed, new Effects());
        long last = 0;
        while (last < 60_000
                && oldOwner.mayGrant(
                        upstream, changed.plusMillis((long) (last * (1 - RosterSimulation.MAX_CLOCK_DRIFT))))) {
            last++;
        }
        long first = 0;
        while (first < 60_000) {
            Instant now = changed.plusMillis((long) (first * (1 + RosterSimulation.MAX_CLOCK_DRIFT)));
            newLog.onLogRead(now, stream.read(4, 10), now, new Effects());
            if (newOwner.mayGrant(upstream, now)) {
                break;
            }
            first++;
        }
        assertThat(last).isBetween(Timing.LEASE.toMillis() + 1, 59_999L);
        assertThat(first - last).isGreaterThanOrEqualTo((long)
                (Timing.MAX_GRANT_LIFETIME.toMillis() / (1 - RosterSimulation.MAX_CLOCK_DRIFT)));
        assertThat(first).isLessThan(60_000);
    }

    private static ControlLog log(int number) {
        return ControlLog.builder(Samples.node(number), Samples.ADDRESS, new ControlState())
                .build();
    }

    private static Vm ownedBy(Members owner) {
        for (int number = 1; ; number++) {
            Vm upstream = Samples.upstream("engine-" + number, "pl-a");
            if (owner.ownerOf(upstream).equals(Optional.of(owner.self()))) {
                return upstream;
            }
        }
    }

    private static RosterSimulation runWithFaults(long seed) {
        RosterSimulation simulation = new RosterSimulation(seed);
        int nodes = 3 + simulation.random.nextInt(3);
        for (int upstream = 0; upstream < 4; upstream++) {
            simulation.upstream("engine-" + upstream, DOMAINS.get(upstream % 3));
        }
        for (int node = 0; node < nodes; node++) {
            simulation.start("entry-" + node, DOMAINS.get(simulation.random.nextInt(3)));
        }
        simulation.run(8_000);
        for (int fault = 0; fault < 14; fault++) {
            injectFault(simulation);
            simulation.run(200 + simulation.random.nextInt(3_000));
        }
        return simulation;
    }

    private static void injectFault(RosterSimulation simulation) {
        Random random = simulation.random;
        SimulatedNode node = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
        long length = 500 + random.nextInt(10_000);
        switch (random.nextInt(9)) {
            case 0 -> node.pause(length);
            case 1 -> {
                node.cutOffFromLog = true;
                simulation.after(length, () -> node.cutOffFromLog = false);
            }
            case 2, 3 -> {
                node.cutOffFromPeers = true;
                simulation.after(length, () -> node.cutOffFromPeers = false);
            }
            case 4 -> {
                simulation.logDown = true;
                simulation.after(length, () -> simulation.logDown = false);
            }
            case 5 -> {
                simulation.logUnresponsive = true;
                simulation.after(length, () -> simulation.logUnresponsive = false);
            }
            case 6 -> {
                simulation.logDelay = 1 + random.nextInt(2_500);
                simulation.after(length, () -> simulation.logDelay = 5);
            }
            case 7 -> {
                // The old process may continue, paused, while a new one starts on the same VM.
                node.dead = random.nextBoolean();
                node.pause(length);
                simulation.start(node.id.vm().value(), DOMAINS.get(random.nextInt(3)));
            }
            default -> {
                simulation.lossRate = random.nextDouble() / 2;
                simulation.after(length, () -> simulation.lossRate = 0);
            }
        }
    }
}
