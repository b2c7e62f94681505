package org.wagtaillug.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wagtaillug.serving.ServingWorld.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.feed.DirectoryItem;
import org.wagtaillug.feed.FeedName;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.message.ServingMessage;
import org.wagtaillug.policy.Contention;
import org.wagtaillug.policy.PolicyFeature;
import org.wagtaillug.policy.PolicyFeatures;

/** Failures of the assignment of engines by one node: each request is still sent once, and soon. */
class AssignmentFailureTest {
    private static final int NODES = 5;
    private static final Duration LONGEST_WAIT = AssignmentExchange.REPLY_TIMEOUT.plusMillis(30);

    private AssignmentFleet fleet;
    private VmId holder;
    private int requests;

    private void start(int engines) {
        fleet = new AssignmentFleet(NODES, engines, 1, Contention.ON, PolicyFeatures.ALL);
        fleet.answers = false;
        RequestId first = ask(1);
        fleet.world.run(Duration.ofMillis(100));
        holder = lines("assign").getFirst().node();
        end(1, first);
    }

    private record Line(VmId node, Map<String, String> fields) {}

    /** The log lines of a kind, of all nodes. */
    private List<Line> lines(String kind) {
        List<Line> found = new ArrayList<>();
        fleet.world.effectsByNode.forEach((node, effects) -> effects.forEach(effect -> {
            if (effect instanceof ServingEffect.LogDecision log
                    && log.decision().kind().equals(kind)) {
                found.add(new Line(node, log.decision().fields()));
            }
        }));
        return found;
    }

    private RequestId ask(int node) {
        requests++;
        return fleet.ask(node, "ask-" + requests, List.of(), 1000, 50);
    }

    private void end(int node, RequestId request) {
        fleet.world.endAttempt(node, request, new SendEnd.Passed());
        fleet.world.run(Duration.ofMillis(100));
    }

    /** A node other than some. */
    private int other(VmId... excluded) {
        for (int number = 1; number <= NODES; number++) {
            if (!List.of(excluded).contains(node(number))) {
                return number;
            }
        }
        throw new AssertionError("no other node");
    }

    /** Asks from a node and returns the fields of the line of the send, which must follow in time, and once. */
    private Map<String, String> askAndSend(int node) {
        RequestId request = ask(node);
        fleet.world.run(LONGEST_WAIT);
        assertThat(fleet.world.sends(request)).hasSize(1);
        return lines("send").stream()
                .filter(line -> line.fields().get("request").equals(request.value()))
                .findFirst()
                .orElseThrow()
                .fields();
    }

    private static boolean aboutAssignment(ServingMessage message) {
        return message instanceof ServingMessage.AssignmentRequest
                || message instanceof ServingMessage.AssignmentReply
                || message instanceof ServingMessage.AssignmentUpdate;
    }

    private int inFlight(VmId node) {
        int sum = 0;
        for (VmId engine : fleet.engines.keySet()) {
            sum += fleet.world.nodes.get(node).assignments().assignedInFlight(AssignmentFleet.POOL, engine);
        }
        return sum;
    }

    /** Guards against requests that wait for a holder that is gone, and a new holder that does not know what runs. */
    @Test
    void theHolderIsKilled() {
        start(4);
        int asking = other(holder);
        assertThat(askAndSend(asking)).containsEntry("chosen_by", "holder");
        fleet.world.failed.add(holder);
        for (int number = 0; number < 3; number++) {
            assertThat(askAndSend(asking)).containsEntry("chosen_by", "node");
        }
        assertThat(askAndSend(asking).get("assignment_ms")).isEqualTo("0");
        fleet.world.run(Duration.ofSeconds(3));
        assertThat(askAndSend(asking)).containsEntry("chosen_by", "holder");
        VmId next = lines("assign").stream()
                .filter(line -> !line.node().equals(holder))
                .findFirst()
                .orElseThrow()
                .node();
        assertThat(inFlight(next)).isEqualTo(6);
    }

    /** Guards against requests that wait for replies of a holder that receives everything and whose messages are lost. */
    @Test
    void theHolderIsCutOffOneWay() {
        start(4);
        int asking = other(holder);
        fleet.world.lost = (sender, send) -> sender.equals(holder);
        for (int number = 0; number < 3; number++) {
            assertThat(askAndSend(asking)).containsEntry("chosen_by", "node");
        }
        assertThat(askAndSend(asking)).containsEntry("assignment", "holder did not reply to earlier requests");
        fleet.world.run(Duration.ofSeconds(3));
        assertThat(askAndSend(asking)).containsEntry("chosen_by", "holder");
    }

    /** Guards against nodes that do not agree on the holder, each of which gets a part of the requests. */
    @Test
    void twoNodesBelieveThatTheyHoldTheDuty() {
        start(4);
        Set<VmId> apart = Set.of(node(other(holder)), node(other(holder, node(other(holder)))));
        fleet.world.lost = (sender, send) -> apart.contains(sender) != apart.contains(send.receiver());
        fleet.world.run(Duration.ofSeconds(3));
        Set<String> holders = new HashSet<>();
        for (int number = 1; number <= NODES; number++) {
            assertThat(askAndSend(number)).containsEntry("chosen_by", "holder");
            RequestId last = new RequestId("ask-" + requests);
            lines("assign").stream()
                    .filter(line -> line.fields().get("request").equals(last.value()))
                    .forEach(line -> holders.add(line.node().value()));
        }
        assertThat(holders).hasSize(2);
        fleet.world.lost = (sender, send) -> false;
        fleet.world.run(Duration.ofSeconds(3));
        // The holder that stays has learned of the requests that the other one assigned.
        assertThat(inFlight(holder)).isEqualTo(NODES);
    }

    /** Guards against requests that are refused because the holder has not read the directory. */
    @Test
    void theHolderHasNoDirectoryEntries() {
        start(4);
        fleet.world.failed.add(holder);
        fleet.world.run(Duration.ofSeconds(3));
        fleet.world.feedsAway.add(FeedName.DIRECTORY);
        // It gets no directory from other nodes either.
        fleet.world.lost = (sender, send) -> send.receiver().equals(holder)
                && (send.message() instanceof ServingMessage.FeedUpdate
                        || send.message() instanceof ServingMessage.FeedCatchUp);
        fleet.world.start(holder, 2);
        fleet.world.run(Duration.ofSeconds(3));
        assertThat(askAndSend(other(holder)))
                .containsEntry("chosen_by", "node")
                .containsEntry("assignment", "holder knows no engine");
    }

    /** Guards against the requests of a failed node counting for ever. */
    @Test
    void aNodeWithRequestsInFlightDies() {
        start(4);
        int dying = other(holder);
        askAndSend(dying);
        askAndSend(dying);
        assertThat(inFlight(holder)).isEqualTo(2);
        fleet.world.failed.add(node(dying));
        fleet.world.run(Duration.ofSeconds(7));
        assertThat(inFlight(holder)).isZero();
    }

    /** Guards against requests that are sent twice or not at all, or counted at the wrong engine, if replies are lost. */
    @Test
    void repliesAreLost() {
        start(4);
        int asking = other(holder);
        fleet.world.lost = (sender, send) -> send.message() instanceof ServingMessage.AssignmentReply;
        List<String> engines = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            Map<String, String> line = askAndSend(asking);
            assertThat(line).containsEntry("chosen_by", "node");
            engines.add(line.get("upstream"));
        }
        fleet.world.run(Duration.ofMillis(100));
        for (String engine : engines) {
            long expected = engines.stream().filter(engine::equals).count();
            assertThat(fleet.world
                            .nodes
                            .get(holder)
                            .assignments()
                            .assignedInFlight(AssignmentFleet.POOL, new VmId(engine)))
                    .isEqualTo((int) expected);
        }
        fleet.world.lost = (sender, send) -> false;
        fleet.world.run(Duration.ofSeconds(1));
        assertThat(askAndSend(asking)).containsEntry("chosen_by", "holder");
    }

    /** Guards against messages to a build that closes the connection when it cannot decode them. */
    @Test
    void anEarlierBuildInTheFleet() {
        start(4);
        VmId earlier = holder;
        fleet.world.failed.add(earlier);
        fleet.world.earlierBuilds.add(earlier);
        fleet.world.run(Duration.ofSeconds(3));
        fleet.world.start(earlier, 2);
        fleet.world.run(Duration.ofSeconds(4));
        List<ServingMessage> received = new ArrayList<>();
        fleet.world.lost = (sender, send) -> {
            if (send.receiver().equals(earlier) && aboutAssignment(send.message())) {
                received.add(send.message());
            }
            return false;
        };
        for (int number = 1; number <= NODES; number++) {
            if (!node(number).equals(earlier)) {
                assertThat(askAndSend(number)).containsEntry("chosen_by", "holder");
            }
        }
        assertThat(received).isEmpty();
    }

    /** Guards against the requests of callers that have left counting until their deadlines. */
    @Test
    void aCallerLeavesBeforeTheReply() {
        start(4);
        int asking = other(holder);
        RequestId request = ask(asking);
        fleet.world.handle(node(asking), new ServingEvent.CallerDisconnected(request));
        fleet.world.run(Duration.ofMillis(100));
        assertThat(fleet.world.sends(request)).isEmpty();
        assertThat(lines("assign")).hasSize(2);
        assertThat(inFlight(holder)).isZero();
    }

    /** Guards against requests that count at an engine that has lost them. */
    @Test
    void anEngineRestarts() {
        start(1);
        VmId engine = fleet.engines.keySet().iterator().next();
        askAndSend(other(holder));
        assertThat(inFlight(holder)).isOne();
        Listing restarted = new Listing(
                engine, 99, AssignmentFleet.POOL, "10.0.0.1", 80, ServingWorld.NORTH, false, Duration.ZERO, "");
        fleet.world.write(FeedName.DIRECTORY, engine.value(), new DirectoryItem.Listed(restarted));
        fleet.world.run(Duration.ofSeconds(1));
        assertThat(inFlight(holder)).isZero();
        assertThat(askAndSend(other(holder))).containsEntry("chosen_by", "holder");
        assertThat(inFlight(holder)).isOne();
    }

    /** Guards against messages and log lines of nodes whose upstreams announce nothing. */
    @Test
    void nothingDiffersBeforeAnUpstreamHasAnnouncedItsLoad() {
        fleet = new AssignmentFleet(NODES, 4, 1, Contention.ANNOUNCED, PolicyFeatures.ALL);
        fleet.answers = false;
        RequestId request = ask(1);
        assertThat(fleet.world.sends(request)).hasSize(1);
        fleet.world.run(Duration.ofSeconds(1));
        assertThat(lines("assign")).isEmpty();
        assertThat(lines("send").getFirst().fields()).doesNotContainKey("chosen_by");
        assertThat(fleet.world.effects(ServingEffect.SendToPeer.class))
                .noneMatch(send -> aboutAssignment(send.message()));
        // From the first announcement on, which heartbeats pass on, all nodes ask.
        fleet.answers = true;
        ask(1);
        fleet.world.run(Duration.ofSeconds(3));
        fleet.answers = false;
        for (int number = 1; number <= NODES; number++) {
            assertThat(askAndSend(number)).containsEntry("chosen_by", "holder");
        }
    }

    /** Guards against heartbeats and other messages of an idle fleet because of the duty. */
    @Test
    void anIdleFleetSendsNoMoreMessages() {
        long off = idleMessages(PolicyFeatures.without(Set.of(PolicyFeature.SHARED_ASSIGNMENT)));
        assertThat(idleMessages(PolicyFeatures.ALL)).isLessThanOrEqualTo(off);
    }

    private static long idleMessages(PolicyFeatures features) {
        AssignmentFleet idle = new AssignmentFleet(26, 4, 1, Contention.ON, features);
        idle.world.run(Duration.ofSeconds(20));
        long before = idle.world.effects(ServingEffect.SendToPeer.class).size();
        idle.world.run(Duration.ofSeconds(20));
        return idle.world.effects(ServingEffect.SendToPeer.class).size() - before;
    }
}
