package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.AnnouncingFleet.upstream;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;

/** Guards against a fleet that sends an upstream more than the rate limit that it announces in its answers. */
class RateLimitFleetTest {
    private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();
    private static final VmId LIMITED = upstream(1);

    private static OptionalDouble limit(double requestsPerSecond) {
        return OptionalDouble.of(requestsPerSecond);
    }

    @ParameterizedTest
    @CsvSource({"9, 1, 1", "9, 1, 2", "9, 5.5, 3", "9, 0.4, 4", "3, 1, 5", "3, 20, 6", "60, 1, 7", "60, 30, 8"})
    void anUpstreamGetsItsAnnouncedRateFromAllNodesTogether(int nodes, double rate, long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(nodes, 4, seed);
        fleet.announce(LIMITED, limit(rate));
        fleet.run(Duration.ofSeconds(14), 60);
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against an excess when every upstream of a pool is limited and no other can take the load. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allUpstreamsOfAPoolGetTheirAnnouncedRate(long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 3, seed);
        for (int number = 1; number <= 3; number++) {
            fleet.announce(upstream(number), limit(number));
        }
        fleet.run(Duration.ofSeconds(14), 40);
        assertThat(fleet.violations()).isEmpty();
        assertThat(fleet.receivedSinceLastCall(upstream(3))).isPositive();
    }

    /** Guards against a restarted node that takes its share anew, and against the others that do not hear of it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theAnnouncedRateHoldsWhileNodesRestart(long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 4, seed);
        fleet.announce(LIMITED, limit(1));
        fleet.run(Duration.ofSeconds(6), 60);
        for (int number = 2; number <= 6; number++) {
            fleet.restart(node(number), 2);
            fleet.run(Duration.ofMillis(1300), 60);
        }
        fleet.run(Duration.ofSeconds(6), 60);
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against nodes that take part without knowing that others have joined. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theAnnouncedRateHoldsWhileNodesJoin(long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 4, seed);
        fleet.announce(LIMITED, limit(2));
        fleet.run(Duration.ofSeconds(6), 60);
        fleet.join(6);
        fleet.run(Duration.ofSeconds(12), 60);
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against nodes that miss a lower limit because no answer of the upstream reaches them any more. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aLowerLimitHoldsForNodesThatWereToldTheHigherOne(long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 4, seed);
        fleet.announce(LIMITED, limit(12));
        fleet.run(Duration.ofSeconds(7), 60);
        fleet.announce(LIMITED, limit(1));
        fleet.run(Duration.ofSeconds(12), 60);
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against a rate that grows when nodes cannot hear one another. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theAnnouncedRateHoldsWhileNodesAreCutOffFromEachOther(long seed) {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 4, seed);
        fleet.world.isolatedNodes.add(node(3));
        fleet.world.isolatedNodes.add(node(4));
        fleet.world.isolatedNodes.add(node(5));
        fleet.announce(LIMITED, limit(1));
        fleet.run(Duration.ofSeconds(14), 60);
        assertThat(fleet.violations()).isEmpty();
    }

    /** Guards against an upstream that stays without load after its limit has ended. */
    @Test
    void anUpstreamGetsItsUsualLoadOnceItAnnouncesNoLimit() {
        AnnouncingFleet fleet = new AnnouncingFleet(9, 4, 1);
        fleet.run(Duration.ofSeconds(4), 60);
        int usual = fleet.receivedSinceLastCall(LIMITED);
        fleet.announce(LIMITED, limit(1));
        fleet.run(Duration.ofSeconds(12), 60);
        assertThat(fleet.violations()).isEmpty();
        fleet.announce(LIMITED, NO_LIMIT);
        fleet.run(Duration.ofSeconds(8), 60);
        fleet.receivedSinceLastCall(LIMITED);
        fleet.run(Duration.ofSeconds(4), 60);
        assertThat(fleet.receivedSinceLastCall(LIMITED)).isGreaterThan(usual * 8 / 10);
    }

    /** Guards against calls and releases that exceed the announced rate of a stage server. */
    @Test
    void aStageServerGetsItsAnnouncedRate() {
        ServingWorld world = new ServingWorld(3);
        world.startServing();
        VmId limited = new VmId("encode-1");
        world.notices.put(limited, UpstreamNotice.builder().rateLimit(1).build());
        world.notices.put(new VmId("encode-2"), UpstreamNotice.NONE);
        int before = 0;
        for (int second = 0; second < 16; second++) {
            for (int request = 0; request < 12; request++) {
                world.request(1 + request % 3, "draft", 4);
                world.run(Duration.ofMillis(83));
            }
            if (second == 3) {
                before = requests(world, limited);
            }
        }
        assertThat(requests(world, limited) - before).isBetween(6, 12);
    }

    private static int requests(ServingWorld world, VmId server) {
        int requests = 0;
        for (BatchCall call : world.batchCalls) {
            requests += call.upstream().id().equals(server) ? 1 : 0;
        }
        for (ServingEffect.ReleaseResults release : world.effects(ServingEffect.ReleaseResults.class)) {
            requests += release.server().id().equals(server) ? 1 : 0;
        }
        return requests;
    }
}
