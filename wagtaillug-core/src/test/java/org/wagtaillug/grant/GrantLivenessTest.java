package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.grant.GrantSimulation.UPSTREAM;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.grant.GrantSimulation.Member;
import org.wagtaillug.node.Effects;

class GrantLivenessTest {
    private static final int NEVER_WARM = 1_000_000;

    private static GrantSimulation simulation(long seed, int coldLimit, int warmAfter, int warmLimit, int nodes) {
        return new GrantSimulation(seed, new FakeConfiguration(coldLimit, warmAfter, warmLimit), nodes, false);
    }

    private static void wantEach(GrantSimulation simulation, int count) {
        for (Member member : simulation.members) {
            member.wanted = count;
        }
    }

    /**
     * Guards against starvation: turns at a cold upstream that go to the fastest node leave the callers of another node
     * waiting for ever.
     */
    @Test
    void everyHolderGetsATurnAtAColdUpstream() {
        for (long seed = 1; seed <= 20; seed++) {
            GrantSimulation simulation = simulation(seed, 1, NEVER_WARM, 8, 9);
            wantEach(simulation, 3);
            simulation.runUntil(30_000);
            for (Member member : simulation.members) {
                assertThat(member.served).as("%s, seed %d", member.name, seed).isGreaterThan(2);
            }
            assertThat(simulation.upstream.maxInFlight()).isEqualTo(1);
        }
    }

    /**
     * Guards against leaked slots: if slots reserved for lost replies, dead nodes and former owners are never released,
     * callers are refused long after the faults are over although every upstream is healthy.
     */
    @Test
    void everyHolderIsServedAgainOnceFaultsAreOver() {
        for (long seed = 1; seed <= 100; seed++) {
            boolean warms = seed % 2 == 0;
            GrantSimulation simulation = new GrantSimulation(
                    seed, new FakeConfiguration(1, warms ? 4 : NEVER_WARM, 8), 3 + (int) (seed % 7), true);
            simulation.varyDemand(4);
            simulation.scheduleFaults(20, 8);
            simulation.runUntil(25_000);
            simulation.faults = false;
            simulation.runUntil(50_000);
            long[] before =
                    simulation.members.stream().mapToLong(each -> each.served).toArray();
            for (int i = 0; i < 30; i++) {
                simulation.runUntil(50_000 + 1000 * i);
                wantEach(simulation, 2);
            }
            assertThat(simulation.violation).as("seed %d", seed).isEmpty();
            for (int i = 0; i < before.length; i++) {
                Member member = simulation.members.get(i);
                assertThat(member.served).as("%s, seed %d", member.name, seed).isGreaterThan(before[i]);
            }
        }
    }

    @Test
    void aWarmStartNeedsNoRoundTrip() {
        GrantSimulation simulation = simulation(1, 2, 4, 12, 3);
        wantEach(simulation, 1);
        simulation.runUntil(20_000);
        for (Member member : simulation.members) {
            assertThat(member.holder.isCold(UPSTREAM)).isFalse();
            assertThat(member.holder.available(UPSTREAM, member.clock()))
                    .as(member.name)
                    .isPositive();
        }
    }

    /**
     * Guards against waiting at an upstream with free capacity because the owner that grants its allowances has died
     * and no other node has taken over yet.
     */
    @Test
    void aWarmUpstreamIsUsedOnAFixedShareWhileItsOwnerIsSilent() {
        GrantSimulation simulation = simulation(1, 2, 4, 6, 3);
        wantEach(simulation, 4);
        simulation.runUntil(20_000);
        simulation.members.get(0).pause(1_000_000);
        simulation.runUntil(26_000);
        long before = simulation.members.get(1).served;
        simulation.runUntil(40_000);
        Member member = simulation.members.get(1);
        assertThat(member.served).isGreaterThan(before + 10);
        GrantView view = member.holder.view(UPSTREAM, member.clock()).get();
        assertThat(view.fixedShare()).isTrue();
        assertThat(view.allowance()).isEqualTo(2);
        assertThat(member.holder.sendDeadline(UPSTREAM, member.clock())).isAfter(member.clock());
        Instant afterPause = member.clock().plusMillis(600);
        assertThat(member.holder.sendDeadline(UPSTREAM, afterPause)).isEqualTo(afterPause);
        member.holder.onFinished(UPSTREAM, UpstreamOutcome.OVERLOADED, member.clock());
        assertThat(member.holder.available(UPSTREAM, member.clock())).isZero();
    }

    /**
     * The upstream has just started and its owner dies: the other nodes must not each send it a request without a
     * grant.
     */
    @Test
    void aColdUpstreamIsNotUsedWhileItsOwnerIsSilent() {
        GrantSimulation simulation = simulation(1, 2, NEVER_WARM, 6, 3);
        wantEach(simulation, 4);
        simulation.runUntil(20_000);
        simulation.members.get(0).pause(1_000_000);
        simulation.runUntil(26_000);
        long before = simulation.members.get(1).served;
        assertThat(before).isPositive();
        simulation.runUntil(40_000);
        assertThat(simulation.members.get(1).served).isEqualTo(before);
        assertThat(simulation
                        .members
                        .get(1)
                        .holder
                        .available(UPSTREAM, simulation.members.get(1).clock()))
                .isZero();
    }

    /**
     * A node that wakes from a pause must not mistake its own silence for that of the owner and send without a grant.
     */
    @Test
    void aPausedHolderDoesNotFallBackOnWaking() {
        GrantSimulation simulation = simulation(1, 2, 4, 6, 3);
        wantEach(simulation, 4);
        simulation.runUntil(20_000);
        Member member = simulation.members.get(1);
        assertThat(member.holder.isCold(UPSTREAM)).isFalse();
        Effects unsent = new Effects();
        member.holder.onTick(member.clock().plusMillis(500), unsent);
        Instant woken = member.clock().plusSeconds(20);
        member.holder.onTick(woken, unsent);
        assertThat(member.holder.view(UPSTREAM, woken).get().allowance()).isZero();
    }
}
