package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.ConfigurationItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.rollout.RolloutLimits;
import org.wagtaillug.rollout.RolloutStatus;
import org.wagtaillug.rollout.RolloutStatus.State;

/** Applies a steady load during the rollout of a pool, and checks what its upstreams and callers observe. */
class RolloutLoadTest {
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final Duration WITHIN = Duration.ofSeconds(12);
    private static final Duration ANSWER = Duration.ofMillis(100);
    private static final int NODES = 5;
    private static final int REQUESTS_IN_STEP = 2;
    private static final Duration STEP = Duration.ofMillis(20);
    private static final RolloutLimits LIMITS = RolloutLimits.DEFAULT;

    private final ServingWorld world = new ServingWorld(NODES);
    private final Random random = new Random(4711);
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Answer> pending = new ArrayList<>();
    private final Set<RequestId> answered = new HashSet<>();
    private final Set<Integer> stopped = new HashSet<>();
    private int asked;
    private int failedRequests;

    private record Arrival(Instant at, Listing upstream, int node) {}

    private record Answer(Instant at, int node, RequestId request, SendEnd end) {}

    /** How the candidate version answers. */
    private interface Behaviour {
        /** Whether an answer is a failure. */
        boolean bad(Instant now, int newInFlight, Random random);
    }

    private void startRollout() {
        world.startServing();
        for (int server = 1; server <= 4; server++) {
            world.register("old-" + server, ServingWorld.ORDERS, OLD);
        }
        world.remove(FeedName.DIRECTORY, "orders-1");
        world.remove(FeedName.DIRECTORY, "orders-2");
        world.run(Duration.ofSeconds(1));
        world.orderRollout(ServingWorld.ORDERS, NEW, WITHIN);
        for (int server = 1; server <= 4; server++) {
            world.register("new-" + server, ServingWorld.ORDERS, NEW);
        }
    }

    private void runLoad(Duration time, Behaviour behaviour) {
        Instant end = world.now.plus(time);
        while (world.now.isBefore(end)) {
            for (int each = 0; each < REQUESTS_IN_STEP; each++) {
                int node = 1 + random.nextInt(NODES);
                if (!stopped.contains(node)) {
                    ask(node, behaviour);
                }
            }
            deliverAnswers(behaviour);
            world.run(STEP);
        }
    }

    private void ask(int node, Behaviour behaviour) {
        int before = world.effectHistory.size();
        RequestId request = new RequestId("request-" + random.nextLong());
        world.request(node, request, "/lookup/1", Optional.of(ServingWorld.KEY));
        asked++;
        onUpstreamRequests(node, before, behaviour);
    }

    private void onUpstreamRequests(int node, int from, Behaviour behaviour) {
        for (int index = from; index < world.effectHistory.size(); index++) {
            if (world.effectHistory.get(index) instanceof ServingEffect.Send send) {
                onUpstreamRequests(node, send.order(), behaviour);
            }
        }
    }

    private void onUpstreamRequests(int node, SendOrder order, Behaviour behaviour) {
        Listing upstream = order.upstream();
        arrivals.add(new Arrival(world.now, upstream, node));
        boolean isNew = upstream.version().equals(NEW);
        boolean bad = isNew && behaviour.bad(world.now, newInFlight(), random);
        SendEnd end = bad ? new SendEnd.Failed(500) : new SendEnd.Passed();
        pending.add(new Answer(world.now.plus(ANSWER), node, order.request(), end));
    }

    private int newInFlight() {
        int count = 0;
        for (Arrival arrival : arrivals) {
            boolean open = arrival.at().plus(ANSWER).isAfter(world.now);
            count += open && arrival.upstream().version().equals(NEW) ? 1 : 0;
        }
        return count;
    }

    private void deliverAnswers(Behaviour behaviour) {
        for (Answer answer : List.copyOf(pending)) {
            if (answer.at().isAfter(world.now)) {
                continue;
            }
            pending.remove(answer);
            int before = world.effectHistory.size();
            world.endAttempt(answer.node(), answer.request(), answer.end());
            answered.add(answer.request());
            failedRequests += answer.end() instanceof SendEnd.Failed ? 1 : 0;
            onUpstreamRequests(answer.node(), before, behaviour);
        }
    }

    private long arrivedAt(String version, Instant from) {
        return arrivals.stream()
                .filter(each -> each.upstream().version().equals(version))
                .filter(each -> !each.at().isBefore(from))
                .count();
    }

    private State state() {
        return world.rolloutStatus().map(RolloutStatus::state).orElse(State.IN_PROGRESS);
    }

    private void assertExposureBounded() {
        double limit = arrivals.size() * LIMITS.ratio() + LIMITS.fixed();
        assertThat(arrivedAt(NEW, Instant.EPOCH)).isLessThanOrEqualTo((long) limit);
    }

    @Test
    void completesAGoodVersionInTimeAndUsesItAlone() {
        startRollout();
        runLoad(WITHIN, (now, inFlight, any) -> false);
        assertThat(state()).isEqualTo(State.COMPLETED);
        Instant completed = world.now;
        runLoad(Duration.ofSeconds(1), (now, inFlight, any) -> false);
        assertThat(arrivedAt(OLD, completed)).isZero();
        assertThat(arrivedAt(NEW, completed)).isPositive();
        assertThat(world.effects(ServingEffect.Refuse.class)).isEmpty();
    }

    /**
     * Guards against stopping servers that still execute requests: the servers of the old version end without
     * draining.
     */
    @Test
    void sendsNothingToTheOldVersionForASecondBeforeItCompletes() {
        startRollout();
        Instant lastOld = Instant.EPOCH;
        while (state() != State.COMPLETED) {
            runLoad(STEP, (now, inFlight, any) -> false);
            lastOld = arrivals.stream()
                    .filter(each -> each.upstream().version().equals(OLD))
                    .map(Arrival::at)
                    .max(Instant::compareTo)
                    .orElse(lastOld);
        }
        assertThat(Duration.between(lastOld, world.now)).isGreaterThan(Duration.ofMillis(900));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.46, 0.5, 1})
    void revertsAVersionThatFails(double share) {
        startRollout();
        runLoad(WITHIN, (now, inFlight, any) -> any.nextDouble() < share);
        assertThat(state()).isEqualTo(State.REVERTED);
        assertExposureBounded();
    }

    /** Guards against a comparison that covers only the first seconds of a version. */
    @Test
    void revertsAVersionThatTurnsBadAfterSomeSeconds() {
        startRollout();
        Instant bad = world.now.plusSeconds(3);
        runLoad(WITHIN, (now, inFlight, any) -> now.isAfter(bad) && any.nextBoolean());
        assertThat(state()).isEqualTo(State.REVERTED);
        assertExposureBounded();
    }

    /** Guards against a version that works under a small share of the load and fails under the full load. */
    @Test
    void revertsAVersionThatFailsUnderLoad() {
        startRollout();
        runLoad(WITHIN, (now, inFlight, any) -> inFlight > 4 && any.nextBoolean());
        assertThat(state()).isEqualTo(State.REVERTED);
        assertExposureBounded();
    }

    @Test
    void sendsNothingMoreToARevertedVersion() {
        startRollout();
        while (state() != State.REVERTED) {
            runLoad(STEP, (now, inFlight, any) -> any.nextBoolean());
        }
        runLoad(Duration.ofMillis(300), (now, inFlight, any) -> any.nextBoolean());
        Instant settled = world.now;
        runLoad(Duration.ofSeconds(3), (now, inFlight, any) -> any.nextBoolean());
        assertThat(arrivedAt(NEW, settled)).isZero();
    }

    /** Guards against a reverted version that is used again once its rollout order is withdrawn. */
    @Test
    void sendsNothingToARevertedVersionWhoseOrderIsWithdrawn() {
        startRollout();
        runLoad(WITHIN, (now, inFlight, any) -> any.nextBoolean());
        assertThat(state()).isEqualTo(State.REVERTED);
        world.write(
                FeedName.CONFIGURATION,
                "rollout/" + ServingWorld.ORDERS,
                new ConfigurationItem.RolloutWithdrawn(ServingWorld.ORDERS));
        Instant withdrawn = world.now;
        runLoad(Duration.ofSeconds(2), (now, inFlight, any) -> any.nextBoolean());
        assertThat(arrivedAt(NEW, withdrawn)).isZero();
        assertThat(arrivedAt(OLD, withdrawn)).isPositive();
    }

    /** Guards against a rollout that stalls when its coordinator fails. */
    @Test
    void anotherNodeTakesOverWhenTheCoordinatorFails() {
        startRollout();
        runLoad(Duration.ofSeconds(4), (now, inFlight, any) -> false);
        VmId coordinator = coordinator();
        world.failed.add(coordinator);
        for (int node = 1; node <= NODES; node++) {
            if (ServingWorld.node(node).equals(coordinator)) {
                stopped.add(node);
            }
        }
        runLoad(WITHIN.minusSeconds(4), (now, inFlight, any) -> false);
        assertThat(state()).isEqualTo(State.COMPLETED);
    }

    private VmId coordinator() {
        for (VmId node : world.nodes.keySet()) {
            boolean writes = world.effectsByNode.get(node).stream()
                    .anyMatch(effect ->
                            effect instanceof ServingEffect.WriteRecord write && write.feed() == FeedName.ROLLOUTS);
            if (writes) {
                return node;
            }
        }
        throw new AssertionError("no node has written the rollout status");
    }

    /** Guards against requests to a candidate version from a node that would not receive its revert. */
    @Test
    void anIsolatedNodeSendsNothingToACandidateVersion() {
        startRollout();
        runLoad(Duration.ofSeconds(3), (now, inFlight, any) -> false);
        VmId isolated = ServingWorld.node(3);
        world.cutOffFromStore.add(isolated);
        world.isolatedNodes.add(isolated);
        runLoad(Duration.ofSeconds(4), (now, inFlight, any) -> false);
        Instant silent = world.now;
        runLoad(Duration.ofSeconds(2), (now, inFlight, any) -> false);
        long fromDeaf = arrivals.stream()
                .filter(each -> each.node() == 3 && each.at().isAfter(silent))
                .filter(each -> each.upstream().version().equals(NEW))
                .count();
        assertThat(fromDeaf).isZero();
    }

    /** Guards against a node that starts after the end of a rollout and sends requests to the losing version. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNodeThatStartsLaterKnowsHowItEnded(boolean good) {
        startRollout();
        runLoad(WITHIN, (now, inFlight, any) -> !good && any.nextBoolean());
        assertThat(state()).isEqualTo(good ? State.COMPLETED : State.REVERTED);
        world.start(ServingWorld.node(2), 2);
        Instant started = world.now;
        runLoad(Duration.ofSeconds(3), (now, inFlight, any) -> !good && any.nextBoolean());
        assertThat(arrivedAt(good ? OLD : NEW, started)).isZero();
    }
}
