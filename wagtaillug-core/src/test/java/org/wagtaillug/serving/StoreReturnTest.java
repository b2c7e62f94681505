package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;

/** Entries of upstreams that go after the store has come back. */
class StoreReturnTest {
    private static final int NODES = 4;
    private static final Duration OUTAGE = Duration.ofSeconds(4);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration RECOVERY = Duration.ofSeconds(2);

    /** A read that a silent store has not answered ends, and the next one is sent, after the store is back. */
    private static final Duration MAX_UNNOTICED = Duration.ofMillis(1200);

    private static final VmId LEAVING = new VmId("orders-1");

    private final ServingWorld world = new ServingWorld(NODES);
    private final Set<Instant> sends = new TreeSet<>();
    private int requests;

    private void startServing() {
        world.startServing();
        world.onSend = (node, order) -> {
            if (order.upstream().id().equals(LEAVING)) {
                sends.add(world.now);
            }
            world.schedule(
                    STEP, node, new ServingEvent.SendEnded(order.request(), order.attempt(), new SendEnd.Passed(true)));
        };
    }

    private void run(Duration time) {
        Instant end = world.now.plus(time);
        while (world.now.isBefore(end)) {
            for (int node = 1; node <= NODES; node++) {
                requests++;
                world.request(node, new RequestId("request-" + requests), "/lookup/1", Optional.of(ServingWorld.KEY));
            }
            world.run(STEP);
        }
    }

    /** Guards against requests to an upstream whose entry has gone long after the store came back. */
    @ParameterizedTest
    @CsvSource({
        "REFUSES, 1, 400", "REFUSES, 1, 1100", "REFUSES, 1, 1900", "REFUSES, 1, 2700", "REFUSES, 4, 1100",
        "REFUSES, 4, 1900", "REFUSES, 4, 2700", "SILENT, 1, 1100", "SILENT, 1, 1900", "SILENT, 1, 2700",
        "SILENT, 4, 1100", "SILENT, 4, 1900", "SILENT, 4, 2700"
    })
    void anEntryThatGoesAfterTheReturnIsHeldOnlyUntilOthersWouldBeBack(Outage outage, int nodes, int removedAfter) {
        startServing();
        run(Duration.ofSeconds(1));
        for (int node = 1; node <= nodes; node++) {
            outage.affected(world).add(ServingWorld.node(node));
        }
        run(OUTAGE);
        outage.affected(world).clear();
        Instant returned = world.now;
        run(Duration.ofMillis(removedAfter));
        Instant removed = world.now;
        world.remove(FeedName.DIRECTORY, LEAVING.value());
        run(Duration.ofSeconds(5));
        Instant recovered = returned.plus(RECOVERY).plus(outage == Outage.SILENT ? MAX_UNNOTICED : Duration.ZERO);
        Instant read = removed.plusMillis(800);
        Instant latest = recovered.isAfter(read) ? recovered : read;
        assertThat(sends).isNotEmpty();
        assertThat(sends.stream().reduce((first, last) -> last).orElseThrow()).isBefore(latest.plusMillis(400));
    }

    /** Guards against pools that are emptied because their entries expired while the store was away for all. */
    @ParameterizedTest
    @EnumSource(Outage.class)
    void anEntryThatExpiresInAnOutageIsHeldUntilTwoSecondsAfterTheReturn(Outage outage) {
        startServing();
        for (int node = 1; node <= NODES; node++) {
            outage.affected(world).add(ServingWorld.node(node));
        }
        run(Duration.ofSeconds(2));
        world.remove(FeedName.DIRECTORY, LEAVING.value());
        run(Duration.ofSeconds(2));
        outage.affected(world).clear();
        Instant returned = world.now;
        run(Duration.ofSeconds(5));
        assertThat(sends.stream().reduce((first, last) -> last).orElseThrow())
                .isBetween(
                        returned.plusMillis(1800),
                        returned.plus(RECOVERY).plus(MAX_UNNOTICED).plusMillis(400));
    }

    /** How the store treats the nodes that it does not serve. */
    private enum Outage {
        REFUSES,
        SILENT;

        private Set<VmId> affected(ServingWorld world) {
            return this == REFUSES ? world.refusedByStore : world.cutOffFromStore;
        }
    }
}
