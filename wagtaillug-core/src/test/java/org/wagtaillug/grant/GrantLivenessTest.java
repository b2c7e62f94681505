package org.wagtaillug.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.grant.GrantWorld.UPSTREAM;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.wagtaillug.grant.GrantWorld.Member;
import org.wagtaillug.node.Effects;

class GrantLivenessTest {
    private static final int NEVER_WARM = 1_000_000;

    private static GrantWorld world(long seed, int coldLimit, int warmAfter, int warmLimit, int nodes) {
        return new GrantWorld(seed, new FakeConfiguration(coldLimit, warmAfter, warmLimit), nodes, false);
    }

    private static void wantEach(GrantWorld world, int count) {
        for (Member member : world.members) {
            member.wanted = count;
        }
    }

    /** One node's callers are served by a cold engine while another node's wait for ever, because turns go to the quickest. */
    @Test
    void everyHolderGetsATurnAtAColdUpstream() {
        for (long seed = 1; seed <= 20; seed++) {
            GrantWorld world = world(seed, 1, NEVER_WARM, 8, 9);
            wantEach(world, 3);
            world.runUntil(30_000);
            for (Member member : world.members) {
                assertThat(member.served).as("%s, seed %d", member.name, seed).isGreaterThan(2);
            }
            assertThat(world.upstream.most()).isEqualTo(1);
        }
    }

    /**
     * After a bad quarter of an hour callers still get refusals though every engine is well: places that were reserved
     * for lost replies, dead nodes and old owners were never given back.
     */
    @Test
    void everyHolderIsServedAgainOnceFaultsAreOver() {
        for (long seed = 1; seed <= 100; seed++) {
            boolean warms = seed % 2 == 0;
            GrantWorld world = new GrantWorld(
                    seed, new FakeConfiguration(1, warms ? 4 : NEVER_WARM, 8), 3 + (int) (seed % 7), true);
            world.varyDemand(4);
            world.scheduleFaults(20, 8);
            world.runUntil(25_000);
            world.faults = false;
            world.runUntil(50_000);
            long[] before =
                    world.members.stream().mapToLong(each -> each.served).toArray();
            for (int i = 0; i < 30; i++) {
                world.runUntil(50_000 + 1000 * i);
                wantEach(world, 2);
            }
            assertThat(world.violation).as("seed %d", seed).isEmpty();
            for (int i = 0; i < before.length; i++) {
                Member member = world.members.get(i);
                assertThat(member.served).as("%s, seed %d", member.name, seed).isGreaterThan(before[i]);
            }
        }
    }

    @Test
    void aWarmStartNeedsNoRoundTrip() {
        GrantWorld world = world(1, 2, 4, 12, 3);
        wantEach(world, 1);
        world.runUntil(20_000);
        for (Member member : world.members) {
            assertThat(member.holder.cold(UPSTREAM)).isFalse();
            assertThat(member.holder.available(UPSTREAM, member.clock()))
                    .as(member.name)
                    .isPositive();
        }
    }

    /**
     * Callers wait for seconds at an engine that has room, because the one node that gives out its allowances has died
     * and no other has taken over yet.
     */
    @Test
    void aWarmUpstreamIsUsedOnAFixedShareWhileItsOwnerIsSilent() {
        GrantWorld world = world(1, 2, 4, 6, 3);
        wantEach(world, 4);
        world.runUntil(20_000);
        world.members.get(0).pause(1_000_000);
        world.runUntil(26_000);
        long before = world.members.get(1).served;
        world.runUntil(40_000);
        Member member = world.members.get(1);
        assertThat(member.served).isGreaterThan(before + 10);
        GrantView view = member.holder.view(UPSTREAM, member.clock()).get();
        assertThat(view.fixedShare()).isTrue();
        assertThat(view.allowance()).isEqualTo(2);
        assertThat(member.holder.startBefore(UPSTREAM, member.clock())).isAfter(member.clock());
        Instant afterPause = member.clock().plusMillis(600);
        assertThat(member.holder.startBefore(UPSTREAM, afterPause)).isEqualTo(afterPause);
        member.holder.finished(UPSTREAM, Finish.OVERLOADED, member.clock());
        assertThat(member.holder.available(UPSTREAM, member.clock())).isZero();
    }

    /** The engine has just started and its owner dies: the others must not each help themselves to "just one". */
    @Test
    void aColdUpstreamIsNotUsedWhileItsOwnerIsSilent() {
        GrantWorld world = world(1, 2, NEVER_WARM, 6, 3);
        wantEach(world, 4);
        world.runUntil(20_000);
        world.members.get(0).pause(1_000_000);
        world.runUntil(26_000);
        long before = world.members.get(1).served;
        assertThat(before).isPositive();
        world.runUntil(40_000);
        assertThat(world.members.get(1).served).isEqualTo(before);
        assertThat(world.members
                        .get(1)
                        .holder
                        .available(UPSTREAM, world.members.get(1).clock()))
                .isZero();
    }

    /** Waking up after a pause, a node takes its own silence for that of the owner, and sends though it was granted nothing. */
    @Test
    void aPausedHolderDoesNotFallBackOnWaking() {
        GrantWorld world = world(1, 2, 4, 6, 3);
        wantEach(world, 4);
        world.runUntil(20_000);
        Member member = world.members.get(1);
        assertThat(member.holder.cold(UPSTREAM)).isFalse();
        Effects unsent = new Effects();
        member.holder.onTick(member.clock().plusMillis(500), unsent);
        Instant woken = member.clock().plusSeconds(20);
        member.holder.onTick(woken, unsent);
        assertThat(member.holder.view(UPSTREAM, woken).get().allowance()).isZero();
    }
}
