package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.ENCODE;
import static org.wagtaillug.serving.ServingWorld.NORTH;
import static org.wagtaillug.serving.ServingWorld.ORDERS;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;

/** Guards against requests to an upstream after the answer in which it announces that it leaves. */
class LeavingUpstreamTest {
    private static final Optional<UpstreamNotice> LEAVING =
            Optional.of(UpstreamNotice.builder().leaving(true).build());
    private static final VmId UPSTREAM = new VmId("orders-1");
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ServingWorld world = new ServingWorld(5);

    LeavingUpstreamTest() {
        world.startServing();
    }

    private void cutOffAllNodesFromTheStore() {
        for (int number = 1; number <= 5; number++) {
            world.cutOffFromStore.add(node(number));
        }
        world.run(SECOND);
    }

    private VmId targetOf(RequestId request) {
        return world.sends(request).getLast().upstream().id();
    }

    private void end(int node, RequestId request, SendEnd end, Optional<UpstreamNotice> notice) {
        int attempt = world.sends(request).getLast().attempt();
        world.handle(node(node), new ServingEvent.SendEnded(request, attempt, end, notice));
    }

    /** Lets the upstream announce in an answer to a node that it leaves. */
    private void announceTo(int node) {
        RequestId request = world.request(node, "lookup");
        assertThat(targetOf(request)).isEqualTo(UPSTREAM);
        end(node, request, new SendEnd.Passed(), LEAVING);
    }

    private List<VmId> targetsOfRequestsTo(int node, int count) {
        List<VmId> targets = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            RequestId request = world.request(node, "lookup");
            targets.add(targetOf(request));
            world.run(SECOND.dividedBy(5));
            world.endAttempt(node, request, new SendEnd.Passed());
        }
        return targets;
    }

    private void list(long incarnation) {
        Listing listing = new Listing(UPSTREAM, incarnation, ORDERS, "10.0.0.1", 80, NORTH, false, Duration.ZERO, "");
        world.write(FeedName.DIRECTORY, UPSTREAM.value(), new DirectoryItem.Listed(listing));
        world.run(SECOND);
    }

    @Test
    void aNodeThatWasToldSendsNoMoreRequestsWhileTheStoreIsAway() {
        cutOffAllNodesFromTheStore();
        announceTo(1);
        assertThat(targetsOfRequestsTo(1, 8)).doesNotContain(UPSTREAM);
    }

    /** Guards against a node that learns it only from an answer of its own. */
    @Test
    void otherNodesHearOfItWhileTheStoreIsAway() {
        cutOffAllNodesFromTheStore();
        announceTo(1);
        world.run(SECOND);
        for (int number = 2; number <= 5; number++) {
            assertThat(targetsOfRequestsTo(number, 4)).doesNotContain(UPSTREAM);
        }
    }

    /** Guards against an entry of the directory that is older than the announcement. */
    @Test
    void aListingThatDoesNotSaySoBringsTheUpstreamBackOnlyAfterItsRestart() {
        announceTo(1);
        list(1);
        assertThat(targetsOfRequestsTo(1, 4)).doesNotContain(UPSTREAM);
        world.remove(FeedName.DIRECTORY, UPSTREAM.value());
        world.run(SECOND);
        list(1);
        assertThat(targetsOfRequestsTo(1, 4)).doesNotContain(UPSTREAM);
        list(world.now.toEpochMilli());
        assertThat(targetsOfRequestsTo(1, 4)).contains(UPSTREAM);
        assertThat(targetsOfRequestsTo(3, 4)).contains(UPSTREAM);
    }

    /** Guards against start times of upstreams that are compared with a wall clock that was behind when the node started. */
    @Test
    void anAnnouncementConcernsAnEarlierRestartAtANodeWhoseWallClockWasBehind() {
        world.wallClockErrors.put(node(1), Duration.ofMinutes(-1));
        world.start(node(1), 2);
        world.run(SECOND.multipliedBy(5));
        world.wallClockErrors.clear();
        anAnnouncementConcernsARestartThatTheNodeHasNotHeardOf();
    }

    /** Guards against an entry that shows a restart only after the restarted upstream has announced it. */
    @Test
    void anAnnouncementConcernsARestartThatTheNodeHasNotHeardOf() {
        cutOffAllNodesFromTheStore();
        list(world.now.toEpochMilli());
        announceTo(1);
        world.cutOffFromStore.clear();
        world.run(SECOND.multipliedBy(3));
        assertThat(targetsOfRequestsTo(1, 4)).doesNotContain(UPSTREAM);
        assertThat(targetsOfRequestsTo(2, 4)).doesNotContain(UPSTREAM);
    }

    /** Guards against a late answer of the incarnation before. */
    @Test
    void anAnswerFromBeforeARestartDoesNotConcernTheUpstreamAfterIt() {
        RequestId request = world.request(1, "lookup");
        world.run(SECOND.dividedBy(5));
        list(world.now.toEpochMilli());
        end(1, request, new SendEnd.NotRun(503), LEAVING);
        world.run(SECOND.dividedBy(5));
        world.endAttempt(1, request, new SendEnd.Passed());
        assertThat(targetsOfRequestsTo(1, 4)).contains(UPSTREAM);
    }

    @Test
    void aRetryAndAResumedStreamGoElsewhere() {
        RequestId retried = world.request(1, "lookup");
        end(1, retried, new SendEnd.NotRun(503), LEAVING);
        RequestId other = world.request(1, "lookup");
        assertThat(List.of(targetOf(retried), targetOf(other))).doesNotContain(UPSTREAM);

        RequestId stream = world.request(1, "question", 0, 0);
        VmId engine = targetOf(stream);
        int attempt = world.sends(stream).getLast().attempt();
        world.handle(node(1), new ServingEvent.AnswerStarted(stream, attempt, LEAVING));
        world.endAttempt(1, stream, new SendEnd.Broken("reset", Optional.of("3")));
        // The directory is read before a stream goes on.
        world.run(Duration.ofMillis(20));
        assertThat(world.sends(stream)).hasSize(2);
        assertThat(targetOf(stream)).isNotEqualTo(engine);
        RequestId next = world.request(1, "question", 0, 0);
        assertThat(targetOf(next)).isNotEqualTo(engine);
    }

    /** Guards against requests that had waited for their steps when the announcement came. */
    @Test
    void aRequestThatWaitedForItsStepsGoesElsewhere() {
        RequestId waiting = world.request(1, "draft", 1);
        assertThat(world.sends(waiting)).isEmpty();
        RequestId first = world.request(1, "question", 0, 0);
        VmId engine = targetOf(first);
        int attempt = world.sends(first).getLast().attempt();
        world.handle(node(1), new ServingEvent.AnswerStarted(first, attempt, LEAVING));
        world.endAttempt(1, first, new SendEnd.Passed());
        world.run(SECOND);
        assertThat(targetOf(waiting)).isNotEqualTo(engine);
    }

    @Test
    void aStageServerThatAnnouncesItGetsNoMoreCalls() {
        VmId leaving = new VmId(ENCODE + "-1");
        world.notices.put(leaving, LEAVING.get());
        for (int number = 1; number <= 5; number++) {
            world.request(number, "draft", 6);
        }
        world.run(SECOND);
        int before = world.batchCalls.size();
        for (int number = 1; number <= 5; number++) {
            world.request(number, "draft", 6);
        }
        world.run(SECOND);
        assertThat(world.batchCalls.subList(before, world.batchCalls.size()))
                .isNotEmpty()
                .allSatisfy(call -> assertThat(call.upstream().id()).isNotEqualTo(leaving));
    }

    /** Guards against waiting for an upstream that will not come back. */
    @Test
    void requestsAreRefusedAtOnceIfAllUpstreamsLeave() {
        for (int number = 0; number < 2; number++) {
            RequestId request = world.request(1, "lookup");
            end(1, request, new SendEnd.Passed(), LEAVING);
        }
        RequestId refused = world.request(1, "lookup");
        assertThat(world.sends(refused)).isEmpty();
        assertThat(world.refusals(refused)).hasSize(1);
    }
}
