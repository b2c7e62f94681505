package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.ENCODE;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.ORDERS;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.result.RunState;

/** Guards against requests to an upstream during the pause for which it has asked this node in a refusal. */
class RequestedPauseTest {
    private static final VmId UPSTREAM = new VmId("orders-1");
    private static final SendEnd REFUSED = new SendEnd.NotRun(503);
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final Duration INTERVAL = Duration.ofMillis(200);

    private final ServingWorld world = new ServingWorld(3);

    RequestedPauseTest() {
        world.startServing();
    }

    private static Optional<UpstreamNotice> pause(Duration pause) {
        return Optional.of(UpstreamNotice.builder().pause(pause).build());
    }

    private VmId targetOf(RequestId request) {
        return world.sends(request).getLast().upstream().id();
    }

    private void refuse(int node, RequestId request, Duration pause) {
        int attempt = world.sends(request).getLast().attempt();
        world.handle(node(node), new ServingEvent.SendEnded(request, attempt, REFUSED, pause(pause)));
    }

    /** Lets the upstream refuse a request of the first node, which another upstream then answers. */
    private void refuseFirstNode(Duration pause) {
        RequestId request = world.request(1, "lookup");
        assertThat(targetOf(request)).isEqualTo(UPSTREAM);
        refuse(1, request, pause);
        assertThat(targetOf(request)).isNotEqualTo(UPSTREAM);
        world.run(INTERVAL);
        world.endAttempt(1, request, new SendEnd.Passed());
    }

    private List<VmId> targetsOfRequestsTo(int node, Duration time) {
        List<VmId> targets = new ArrayList<>();
        Instant end = world.now.plus(time);
        while (world.now.isBefore(end)) {
            RequestId request = world.request(node, "lookup");
            targets.add(targetOf(request));
            world.run(INTERVAL);
            world.endAttempt(node, request, new SendEnd.Passed());
        }
        return targets;
    }

    @Test
    void otherRequestsOfTheNodeGoElsewhereUntilThePauseEnds() {
        refuseFirstNode(PAUSE);
        assertThat(targetsOfRequestsTo(1, PAUSE.minus(INTERVAL))).doesNotContain(UPSTREAM);
        assertThat(targetsOfRequestsTo(1, PAUSE)).contains(UPSTREAM);
    }

    /** Guards against more than was asked for: the pause concerns the node that was refused. */
    @Test
    void otherNodesGoOnSending() {
        refuseFirstNode(PAUSE);
        assertThat(targetsOfRequestsTo(2, Duration.ofSeconds(1))).contains(UPSTREAM);
    }

    /** Guards against a refusal of a request that was on its way already, with a shorter pause. */
    @Test
    void aShorterPauseDoesNotEndALongerOne() {
        RequestId first = world.request(1, "lookup");
        RequestId elsewhere = world.request(1, "lookup");
        RequestId second = world.request(1, "lookup");
        assertThat(List.of(targetOf(first), targetOf(second))).containsOnly(UPSTREAM);
        refuse(1, first, PAUSE);
        refuse(1, second, Duration.ofMillis(100));
        world.run(INTERVAL);
        for (RequestId request : List.of(first, elsewhere, second)) {
            world.endAttempt(1, request, new SendEnd.Passed());
        }
        assertThat(targetsOfRequestsTo(1, PAUSE.minus(INTERVAL))).doesNotContain(UPSTREAM);
    }

    /** Guards against holding requests that no upstream will take in time. */
    @Test
    void requestsAreRefusedAtOnceIfAllUpstreamsWantAPause() {
        RequestId request = world.request(1, "lookup");
        refuse(1, request, PAUSE);
        refuse(1, request, PAUSE);
        RequestId next = world.request(1, "confirm");
        assertThat(world.sends(next)).isEmpty();
        assertThat(world.refusals(next))
                .singleElement()
                .satisfies(refuse -> assertThat(refuse.refusal().run()).isEqualTo(RunState.NOT_RUN));
    }

    /** Guards against a pause that outlives the upstream that asked for it. */
    @Test
    void aRestartOfTheUpstreamEndsThePause() {
        refuseFirstNode(PAUSE);
        list(world.now.toEpochMilli());
        assertThat(targetsOfRequestsTo(1, Duration.ofSeconds(1))).contains(UPSTREAM);
    }

    /** Guards against an entry that shows a restart only after the restarted upstream has asked for the pause. */
    @Test
    void aRestartBeforeTheRefusalDoesNotEndThePause() {
        world.cutOffFromStore.addAll(List.of(node(1), node(2), node(3)));
        world.run(Duration.ofSeconds(1));
        list(world.now.toEpochMilli());
        refuseFirstNode(PAUSE.multipliedBy(2));
        world.cutOffFromStore.clear();
        world.run(PAUSE);
        assertThat(targetsOfRequestsTo(1, Duration.ofSeconds(1))).doesNotContain(UPSTREAM);
    }

    /** Guards against start times of upstreams that are compared with a wall clock that was behind when the node started. */
    @Test
    void aRestartBeforeTheRefusalDoesNotEndThePauseAtANodeWhoseWallClockWasBehind() {
        world.wallClockErrors.put(node(1), Duration.ofMinutes(-1));
        world.start(node(1), 2);
        world.run(Duration.ofSeconds(5));
        world.wallClockErrors.clear();
        aRestartBeforeTheRefusalDoesNotEndThePause();
    }

    private void list(long start) {
        Listing restarted = new Listing(UPSTREAM, start, ORDERS, "10.0.0.1", 80, NORTH, false, Duration.ZERO, "");
        world.write(FeedName.DIRECTORY, UPSTREAM.value(), new DirectoryItem.Listed(restarted));
        world.run(Duration.ofSeconds(1));
    }

    /** Guards against calls and releases for the orders of all nodes. */
    @Test
    void aStageServerGetsNoCallsAndReleasesDuringItsPause() {
        VmId paused = new VmId(ENCODE + "-1");
        orderItems(1);
        world.notices.put(paused, pause(PAUSE).get());
        orderItems(1);
        int before = requests(paused);
        orderItems(2);
        assertThat(requests(paused)).isEqualTo(before);
        world.notices.remove(paused);
        orderItems(3);
        assertThat(requests(paused)).isGreaterThan(before);
    }

    /** Guards against releases that go on to a server which has refused one of them. */
    @Test
    void aStageServerThatRefusesAReleaseGetsNoOtherDuringItsPause() {
        VmId paused = new VmId(ENCODE + "-1");
        List<RequestId> requests = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            requests.add(world.request(1, "draft", 6));
        }
        world.run(Duration.ofSeconds(2));
        int before = requests(paused);
        world.notices.put(paused, pause(PAUSE).get());
        for (RequestId request : requests) {
            world.handle(node(1), new ServingEvent.CallerDisconnected(request));
            world.run(Duration.ofMillis(100));
        }
        assertThat(requests(paused) - before).isEqualTo(1);
    }

    /** Guards against orders that wait for a pool whose servers all want a pause, until they are too late. */
    @Test
    void ordersAreRefusedAtOnceIfAllServersOfAPoolWantALongPause() {
        Duration longer = Duration.ofSeconds(10);
        world.notices.put(new VmId(ENCODE + "-1"), pause(longer).get());
        world.notices.put(new VmId(ENCODE + "-2"), pause(longer).get());
        orderItems(1);
        RequestId request = world.request(1, "draft", 2);
        world.run(Duration.ofMillis(100));
        assertThat(world.refusals(request)).hasSize(1);
    }

    private void orderItems(int seconds) {
        for (int round = 0; round < 10 * seconds; round++) {
            world.request(1 + round % 3, "draft", 4);
            world.run(Duration.ofMillis(100));
        }
    }

    private int requests(VmId server) {
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
