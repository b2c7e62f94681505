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
import org.wagtaillug.membership.RosterWorld.Machine;
import org.wagtaillug.node.Effects;

/**
 * A cold upstream falls over under load that two nodes each thought small: both believed they owned it. It comes about
 * when views of the roster differ: a node is cut off from the log or paused past its lease while the others remove it, an
 * append takes place long after its answer was lost, the log goes down or slow, or a node comes back on the same VM.
 */
class OwnershipSafetyTest {
    private static final int RUNS = Integer.getInteger("wagtaillug.ownership.runs", 1_000);
    private static final long FIRST_SEED = Long.getLong("wagtaillug.ownership.seed", 1);
    private static final List<String> DOMAINS = List.of("pl-a", "pl-b", "pl-c");

    @Test
    void neverDoTwoNodesHoldAllowancesForOneUpstream() {
        long grants = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            RosterWorld world = storm(seed);
            assertThat(world.violations).as("seed %s", seed).isEmpty();
            grants += world.grantsSeen;
        }
        assertThat(grants).as("the runs must not be safe by granting nothing").isGreaterThan(1_000L * RUNS);
    }

    @Test
    void afterAStormEveryUpstreamIsGrantedAgainByOneNode() {
        for (long seed = 1; seed <= 50; seed++) {
            RosterWorld world = storm(seed);
            world.heal(Duration.ofSeconds(90));
            assertThat(world.violations).as("seed %s", seed).isEmpty();
            for (Vm upstream : world.upstreams) {
                long granting = world.machines.stream()
                        .filter(machine -> !machine.dead && machine.members.mayGrant(upstream, machine.clock()))
                        .count();
                assertThat(granting).as("seed %s, %s", seed, upstream.id()).isEqualTo(1);
            }
        }
    }

    /**
     * The old owner's clock is 2 % slow and the new one's 2 % fast: the one believes in its lease for longer, the other
     * thinks that its wait is over sooner. What the old one granted last must have lapsed all the same.
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
        NodeId leaver = Samples.node(1);
        stream.append(new RosterChange(RosterChangeKind.LEAVE, leaver, leaver, Optional.empty()), changed);
        newLog.onLogRead(changed, stream.read(1, 10), changed, new Effects());
        long last = 0;
        while (last < 60_000
                && oldOwner.mayGrant(upstream, changed.plusMillis((long) (last * (1 - RosterWorld.DRIFT))))) {
            last++;
        }
        long first = 0;
        while (first < 60_000) {
            Instant now = changed.plusMillis((long) (first * (1 + RosterWorld.DRIFT)));
            newLog.onLogRead(now, stream.read(4, 10), now, new Effects());
            if (newOwner.mayGrant(upstream, now)) {
                break;
            }
            first++;
        }
        assertThat(last).isBetween(Timing.LEASE.toMillis() + 1, 59_999L);
        assertThat(first - last)
                .isGreaterThanOrEqualTo((long) (Timing.LONGEST_GRANT.toMillis() / (1 - RosterWorld.DRIFT)));
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

    private static RosterWorld storm(long seed) {
        RosterWorld world = new RosterWorld(seed);
        int nodes = 3 + world.random.nextInt(3);
        for (int upstream = 0; upstream < 4; upstream++) {
            world.upstream("engine-" + upstream, DOMAINS.get(upstream % 3));
        }
        for (int node = 0; node < nodes; node++) {
            world.start("entry-" + node, DOMAINS.get(world.random.nextInt(3)));
        }
        world.run(8_000);
        for (int fault = 0; fault < 14; fault++) {
            fault(world);
            world.run(200 + world.random.nextInt(3_000));
        }
        return world;
    }

    private static void fault(RosterWorld world) {
        Random random = world.random;
        Machine machine = world.machines.get(random.nextInt(world.machines.size()));
        long length = 500 + random.nextInt(10_000);
        switch (random.nextInt(9)) {
            case 0 -> machine.pause(length);
            case 1 -> {
                machine.cutFromLog = true;
                world.after(length, () -> machine.cutFromLog = false);
            }
            case 2, 3 -> {
                machine.cutFromPeers = true;
                world.after(length, () -> machine.cutFromPeers = false);
            }
            case 4 -> {
                world.logDown = true;
                world.after(length, () -> world.logDown = false);
            }
            case 5 -> {
                world.logSilent = true;
                world.after(length, () -> world.logSilent = false);
            }
            case 6 -> {
                world.logDelay = 1 + random.nextInt(2_500);
                world.after(length, () -> world.logDelay = 5);
            }
            case 7 -> {
                // The old run may live on, paused, while a new one takes its VM.
                machine.dead = random.nextBoolean();
                machine.pause(length);
                world.start(machine.id.vm().value(), DOMAINS.get(random.nextInt(3)));
            }
            default -> {
                world.lost = random.nextDouble() / 2;
                world.after(length, () -> world.lost = 0);
            }
        }
    }
}
