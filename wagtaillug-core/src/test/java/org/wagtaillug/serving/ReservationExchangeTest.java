package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.KEY;
import static org.wagtaillug.serving.ServingWorld.RANK;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.batch.BatchCall;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.node.Decision;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.result.ResultCode;

/** Requests with a step at each of two pools, at a fleet of three nodes. */
class ReservationExchangeTest {
    private static final Duration BEFORE_FIRST_STEP_ENDS = Duration.ofMillis(100);

    private ServingWorld world = fleet(0);
    private int caller;
    private VmId scheduler;

    /** Starts three nodes; the one with the given number, if there is one, runs an earlier build. */
    private ServingWorld fleet(int earlier) {
        world = new ServingWorld(3);
        world.contention = Contention.ON;
        if (earlier > 0) {
            world.earlierBuilds.add(node(earlier));
        }
        for (int number = 1; number <= 3; number++) {
            world.start(node(number), 1);
        }
        world.startServing();
        return world;
    }

    private RequestId request(Integer... items) {
        return world.request(caller, "question", items);
    }

    /** Chooses a node that doesn't schedule the second pool, by the receiver of its first order there. */
    private void chooseCaller() {
        for (caller = 1; caller <= 3; caller++) {
            RequestId request = request(1, 1);
            world.run(Duration.ofSeconds(1));
            world.endAttempt(caller, request, new SendEnd.Passed());
            Optional<VmId> found = receiver(request);
            if (found.isPresent()) {
                scheduler = found.get();
                return;
            }
        }
        throw new AssertionError("no node orders from another one");
    }

    private Optional<VmId> receiver(RequestId request) {
        for (ServingEffect.SendToPeer send : world.effects(ServingEffect.SendToPeer.class)) {
            if (send.message() instanceof ServingMessage.BatchRequest order
                    && order.request().equals(request)
                    && order.pool().equals(RANK)) {
                return Optional.of(send.receiver());
            }
        }
        return Optional.empty();
    }

    /** The outcomes of the reservations of a request, in order. */
    private List<String> outcomes(RequestId request) {
        List<String> outcomes = new ArrayList<>();
        for (ServingEffect.LogDecision log : world.effects(ServingEffect.LogDecision.class)) {
            Decision decision = log.decision();
            if (decision.kind().equals("reserve")
                    && decision.fields().get("request").equals(request.value())) {
                outcomes.add(decision.fields().get("outcome"));
            }
        }
        return outcomes;
    }

    private long asks() {
        return world.effects(ServingEffect.SendToPeer.class).stream()
                .filter(send -> send.message() instanceof ServingMessage.ReservationRequest)
                .count();
    }

    private void assertEachItemIsCalledOnce(RequestId request) {
        Set<String> items = new HashSet<>();
        for (BatchCall call : world.batchCalls) {
            for (BatchCall.Item item : call.items()) {
                boolean first = items.add(item.step() + "/" + item.number());
                assertThat(first || !item.request().equals(request)).isTrue();
                items.removeIf(any -> !item.request().equals(request));
            }
        }
    }

    /** Guards against steps that are ordered before the answer, and reservations that outlive their orders. */
    @Test
    void theLaterStepIsReservedBeforeTheFirstIsOrdered() {
        chooseCaller();
        RequestId request = request(1, 1);
        assertThat(world.batchCalls.getLast().items().getFirst().request()).isNotEqualTo(request);
        world.run(Duration.ofSeconds(4));
        assertThat(outcomes(request)).containsExactly("granted");
        assertThat(world.sends(request)).hasSize(1);
    }

    /** Guards against a request that is run by the first pool although the second one has no capacity. */
    @Test
    void aRequestWithoutCapacityOnItsPathIsRefusedBeforeAnyWork() {
        chooseCaller();
        RequestId served = request(1, 36);
        RequestId refused = null;
        for (int each = 0; each < 4; each++) {
            refused = request(1, 36);
        }
        world.run(BEFORE_FIRST_STEP_ENDS);
        assertThat(world.refusals(refused)).hasSize(1);
        assertThat(world.refusals(refused).getFirst().refusal().code()).isEqualTo(ResultCode.STEP_OVERLOADED);
        assertThat(outcomes(served)).containsExactly("granted");
        for (BatchCall call : world.batchCalls) {
            RequestId none = refused;
            assertThat(call.items()).noneMatch(item -> item.request().equals(none));
        }
    }

    /** Guards against requests that fail because the node that has granted their reservation is killed. */
    @Test
    void theSchedulerIsKilledBetweenGrantAndOrder() {
        chooseCaller();
        RequestId request = request(1, 1);
        world.run(BEFORE_FIRST_STEP_ENDS);
        assertThat(outcomes(request)).containsExactly("granted");
        world.failed.add(scheduler);
        world.run(Duration.ofSeconds(5));
        assertThat(world.sends(request)).hasSize(1);
    }

    /** Guards against requests that wait for an answer that does not come, and a scheduler that is asked in vain. */
    @Test
    void repliesAreLost() {
        chooseCaller();
        world.lost = (sender, send) -> send.message() instanceof ServingMessage.ReservationReply;
        long before = asks();
        List<RequestId> requests = new ArrayList<>();
        for (int each = 0; each < 6; each++) {
            requests.add(request(1, 1));
            world.run(BEFORE_FIRST_STEP_ENDS);
        }
        assertThat(asks() - before).isEqualTo(3);
        world.run(Duration.ofSeconds(2));
        requests.forEach(request -> assertThat(world.sends(request)).hasSize(1));
        request(1, 1);
        assertThat(asks() - before).isEqualTo(4);
    }

    /** Guards against capacity that stays reserved for the requests of a node that is gone. */
    @Test
    void aNodeWithReservationsDies() {
        chooseCaller();
        RequestId request = request(1, 1);
        world.run(Duration.ofMillis(20));
        world.failed.add(node(caller));
        world.run(Duration.ofSeconds(10));
        assertThat(outcomes(request)).containsExactly("granted", "expired");
    }

    /** Guards against capacity that stays reserved because a cancellation does not arrive. */
    @Test
    void theCancellationIsLost() {
        chooseCaller();
        RequestId cancelled = request(1, 1);
        world.run(Duration.ofMillis(20));
        world.handle(node(caller), new ServingEvent.CallerDisconnected(cancelled));
        world.lost = (sender, send) -> send.message() instanceof ServingMessage.ReservationCancellation;
        RequestId lost = request(1, 1);
        world.run(Duration.ofMillis(20));
        world.handle(node(caller), new ServingEvent.CallerDisconnected(lost));
        world.run(Duration.ofSeconds(10));
        assertThat(outcomes(cancelled)).containsExactly("granted");
        assertThat(outcomes(lost)).containsExactly("granted", "expired");
    }

    /** Guards against items that run twice, or requests that hang, while two nodes schedule the same pool. */
    @Test
    void twoNodesScheduleThePool() {
        chooseCaller();
        world.isolatedNodes.add(scheduler);
        world.run(Duration.ofSeconds(2));
        RequestId one = request(1, 3);
        RequestId other = new RequestId("other");
        world.request(Integer.parseInt(scheduler.value().substring(5)), other, "/question/1", Optional.of(KEY), 1, 3);
        world.run(Duration.ofSeconds(3));
        for (RequestId request : List.of(one, other)) {
            assertThat(outcomes(request)).containsExactly("granted");
            assertThat(world.sends(request)).hasSize(1);
            assertEachItemIsCalledOnce(request);
        }
    }

    /** Guards against messages that an earlier build cannot decode, and requests that wait for its answer. */
    @Test
    void theSchedulerRunsAnEarlierBuild() {
        chooseCaller();
        int earlier = Integer.parseInt(scheduler.value().substring(5));
        fleet(earlier);
        RequestId request = request(1, 1);
        world.run(Duration.ofSeconds(2));
        assertThat(receiver(request)).contains(scheduler);
        assertThat(asks()).isZero();
        assertThat(world.sends(request)).hasSize(1);
    }

    /** Guards against orders without a reservation that are not served beside those with one. */
    @Test
    void theCallingNodeRunsAnEarlierBuild() {
        chooseCaller();
        fleet(caller);
        RequestId request = request(1, 1);
        world.run(Duration.ofSeconds(2));
        assertThat(receiver(request)).contains(scheduler);
        assertThat(asks()).isZero();
        assertThat(world.sends(request)).hasSize(1);
    }

    /** Guards against reservations that expire, or never do, because a wall clock is set. */
    @Test
    void clocksAreSet() {
        chooseCaller();
        RequestId served = request(1, 1);
        world.run(Duration.ofMillis(20));
        world.wallClockErrors.put(scheduler, Duration.ofHours(1));
        world.wallClockErrors.put(node(caller), Duration.ofHours(-1));
        world.run(Duration.ofSeconds(2));
        assertThat(outcomes(served)).containsExactly("granted");
        assertThat(world.sends(served)).hasSize(1);
        RequestId lost = request(1, 1);
        world.run(Duration.ofMillis(20));
        world.wallClockErrors.put(scheduler, Duration.ofHours(-1));
        world.failed.add(node(caller));
        world.run(Duration.ofSeconds(10));
        assertThat(outcomes(lost)).containsExactly("granted", "expired");
    }
}
