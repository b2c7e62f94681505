package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.daemon.Json;

/** Failures in which all processes stay alive. The tests share one fleet, and each clears its faults. */
class FleetFaultTest {
    private static final int ROUNDS = 10;

    @TempDir
    private static Path directory;

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = Fleet.start(directory);
    }

    @AfterAll
    static void end() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @AfterEach
    void clearFaults() {
        fleet.standIns().clear();
    }

    /**
     * Guards against drafts that hang until their deadline on dead connections: a firewall between the nodes and the
     * encoders loses track of the connections that every node has open from earlier requests. They are neither closed
     * nor answered; new connections work.
     */
    @Test
    void draftsAreServedOnNewConnectionsWhenOpenOnesStopResponding() throws Exception {
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(60);
            for (String encoder : StandIns.pool("encode")) {
                fleet.standIns().fault(encoder, "{\"fault\": \"silent\"}");
            }
            load.awaitServed(100);
            assertThat(load.end()).isEmpty();
        }
    }

    /**
     * Operators take a failure domain out of service before its power is cut, and the tool reports that this is in
     * force on all nodes. Guards against requests that start there later and would be lost with the domain. When the
     * domain is brought back, it gets requests again.
     */
    @Test
    void aFailureDomainOutOfServiceGetsNoNewRequests() throws Exception {
        List<String> out = upstreamsIn("zone-b");
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(60);
            assertThat(fleet.runTool("domain", "out", "zone-b", "--wait", "--timeout", "60s"))
                    .contains("in force on 3 of 3 nodes");
            awaitIdle(out);
            long before = fleet.standIns().executed(out);
            load.awaitServed(150);
            assertThat(fleet.standIns().executed(out)).isEqualTo(before);
            assertThat(fleet.runTool("domain", "back", "zone-b", "--wait", "--timeout", "60s"))
                    .contains("in force on 3 of 3 nodes");
            Waiting.until("zone-b works again", () -> fleet.standIns().executed(out) > before);
            assertThat(load.end()).isEmpty();
        }
    }

    /**
     * The platform is about to replace the VM of an encoder and lists it as leaving. Guards against requests that are
     * sent there after the nodes have read the list and would be cut when the VM is replaced.
     */
    @Test
    void aLeavingUpstreamGetsNoNewRequests() throws Exception {
        String leaving = "encode-zone-a";
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(60);
            fleet.standIns().list(leaving, "encode", "zone-a", "leaving");
            for (NodeProcess node : fleet.nodes()) {
                Waiting.until(
                        node.vm() + " has read that " + leaving + " is leaving",
                        () -> upstream(node, leaving).path("leaving").asBoolean());
            }
            awaitIdle(List.of(leaving));
            long before = fleet.standIns().executed(List.of(leaving));
            load.awaitServed(150);
            assertThat(fleet.standIns().executed(List.of(leaving))).isEqualTo(before);
            assertThat(load.end()).isEmpty();
        } finally {
            fleet.standIns().list(leaving, "encode", "zone-a", "live");
        }
    }

    /**
     * Two operators change the same pool from the same version at the same moment, each through a different node.
     * Guards against nodes that apply different changes and differ permanently, and against reporting success for a
     * change that was discarded.
     */
    @Test
    void oneOfTwoConcurrentChangesTakesEffectOnAllNodes() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            long base = fleet.node(1).versions().get("pool/rerank");
            int limit = 20 + 2 * round;
            List<Answer> answers = callConcurrently(List.of(
                    () -> changeRerank(fleet.node(1), base, limit),
                    () -> changeRerank(fleet.node(2), base, limit + 1)));
            List<Answer> won =
                    answers.stream().filter(answer -> answer.status() == 200).toList();
            List<Answer> lost =
                    answers.stream().filter(answer -> answer.status() == 409).toList();
            assertThat(won).as("round %d: %s", round, answers).hasSize(1);
            assertThat(lost).as("round %d: %s", round, answers).hasSize(1);
            assertThat(lost.get(0).resultCode()).isEqualTo(503);
            assertThat(lost.get(0).run()).isEqualTo("not-run");
            long version = won.get(0).json().path("version").asLong();
            fleet.awaitInForce(version, fleet.nodes());
            for (NodeProcess node : fleet.nodes()) {
                assertThat(node.versions()).containsEntry("pool/rerank", version);
                assertThat(node.digest()).isEqualTo(fleet.node(1).digest());
            }
        }
    }

    private static Answer changeRerank(NodeProcess node, long base, int warmLimit) {
        ObjectNode body = Json.object().put("kind", "pool").put("id", "rerank").put("warm_limit", warmLimit);
        return node.change("pool/rerank", base, body, UUID.randomUUID().toString());
    }

    /**
     * A caller sends one booking to three nodes at once. Each node claims the key in the log; guards against more than
     * one of them calling the service, which would book two tables.
     */
    @Test
    void oneKeySentToAllNodesAtOnceIsExecutedOnce() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            String key = Fleet.newKey();
            List<Callable<Answer>> calls = new ArrayList<>();
            for (NodeProcess node : fleet.nodes()) {
                calls.add(() -> node.booking(key, Fleet.DEADLINE_MILLIS));
            }
            List<Answer> answers = callConcurrently(calls);
            assertThat(fleet.standIns().executions(key))
                    .as("round %d: %s", round, answers)
                    .isOne();
            List<Answer> served = answers.stream().filter(Answer::served).toList();
            assertThat(served).as("round %d: %s", round, answers).isNotEmpty();
            for (Answer answer : answers) {
                if (answer.served()) {
                    assertThat(answer.output()).isEqualTo(served.get(0).output());
                    continue;
                }
                assertThat(answer.run()).as("round %d: %s", round, answer).isEqualTo("unknown");
            }
        }
    }

    /**
     * The log appends a change, but the connection breaks before its answer. Guards against appending it again, which
     * would create a second version, and against reporting a change as lost that is in force.
     */
    @Test
    void aChangeWhoseAppendAnswerIsLostIsReportedWithItsVersion() throws Exception {
        long base = fleet.node(1).versions().get("pool/generate");
        String changeId = UUID.randomUUID().toString();
        ObjectNode body =
                Json.object().put("kind", "pool").put("id", "generate").put("warm_limit", 9);
        fleet.standIns().fault("log", "{\"fault\": \"answer-lost\", \"count\": 1}");
        Answer answer = fleet.node(1).change("pool/generate", base, body, changeId);
        assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
        long version = answer.json().path("version").asLong();
        fleet.awaitInForce(version, fleet.nodes());
        for (NodeProcess node : fleet.nodes()) {
            assertThat(node.versions()).containsEntry("pool/generate", version);
        }
        assertThat(fleet.standIns().recordsWith("control", changeId)).isOne();
    }

    /**
     * The tool does not receive the answer to a change and sends the change again, while another operator has changed
     * the same key. Guards against writing the first change again from the newest version, which would undo the second
     * one.
     */
    @Test
    void aRepeatedChangeGetsItsFirstOutcomeAndIsNotWrittenAgain() throws Exception {
        NodeProcess node = fleet.node(1);
        String changeId = UUID.randomUUID().toString();
        ObjectNode body = Json.object().put("kind", "pool").put("id", "encode").put("warm_limit", 9);
        Answer first = node.change("pool/encode", -1, body, changeId);
        assertThat(first.status()).as(first.toString()).isEqualTo(200);
        ObjectNode otherBody = body.deepCopy().put("warm_limit", 10);
        Answer between =
                node.change("pool/encode", -1, otherBody, UUID.randomUUID().toString());
        assertThat(between.status()).as(between.toString()).isEqualTo(200);
        assertThat(node.change("pool/encode", -1, body, changeId)).isEqualTo(first);
        assertThat(node.versions())
                .containsEntry("pool/encode", between.json().path("version").asLong());
        assertThat(fleet.standIns().recordsWith("control", changeId)).isOne();
        assertRefused(node.change("pool/encode", -1, otherBody, changeId), 400, 100, "was used for another change");
    }

    @Test
    void unknownAdministrationRequestsAreRefusedWithACode() throws Exception {
        NodeProcess node = fleet.node(1);
        assertRefused(node.adminAnswer("nodse"), 404, 109, "nodse");
        assertRefused(node.adminAnswer("configuration/pool/encoed"), 404, 109, "pool/encoed");
        assertRefused(node.adminAnswer("requests/r-7"), 404, 109, "r-7");
        ObjectNode unknown =
                Json.object().put("kind", "unknown").put("name", "quota").put("text", "{}");
        Answer refused =
                node.change("pool/encode", -1, unknown, UUID.randomUUID().toString());
        assertRefused(refused, 400, 100, "unknown");
        ObjectNode large = Json.object().put("kind", "pool").put("id", "x".repeat(1024 * 1024));
        assertRefused(node.change("pool/x", -1, large, UUID.randomUUID().toString()), 413, 101, "1048576");
    }

    private static void assertRefused(Answer answer, int status, int code, String message) {
        assertThat(answer.status()).as(answer.toString()).isEqualTo(status);
        assertThat(answer.resultCode()).as(answer.toString()).isEqualTo(code);
        assertThat(answer.run()).as(answer.toString()).isEqualTo("not-run");
        assertThat(answer.json().path("message").asText()).contains(message);
    }

    /** Each view has the fields that docs/API.md lists and that the command-line tool shows. */
    @Test
    void theViewsHaveTheDocumentedFields() throws Exception {
        NodeProcess node = fleet.node(1);
        Answer draft = node.draft(Fleet.DEADLINE_MILLIS);
        assertThat(draft.served()).as(draft.toString()).isTrue();
        JsonNode decisions =
                node.admin("requests/" + draft.json().path("request").asText());
        assertThat(decisions.at("/decisions/0").properties())
                .extracting(Map.Entry::getKey)
                .containsExactly("time", "kind", "fields", "alternatives");
        assertThat(node.admin("nodes").at("/nodes/1").properties())
                .extracting(Map.Entry::getKey)
                .containsExactly("node", "vm", "domain", "through", "heard_millis", "fresh", "ready");
        assertThat(node.admin("ownership").at("/ownership/0").properties())
                .extracting(Map.Entry::getKey)
                .startsWith("vm", "owner", "fencing_number", "may_grant");
        assertThat(fleet.runTool("ownership")).contains("encode-zone-a").contains("yes");
        assertThat(fleet.runTool("nodes")).contains("node-3");
    }

    /**
     * The log records the claim of the key of a booking, but its answer is lost. Guards against a node that claims
     * again, or that sends without knowing who holds the key: it could book twice.
     */
    @Test
    void aBookingWhoseClaimAnswerIsLostIsExecutedOnce() throws Exception {
        String key = Fleet.newKey();
        fleet.standIns().fault("log", "{\"fault\": \"answer-lost\", \"count\": 2}");
        Answer first = fleet.node(2).booking(key, Fleet.DEADLINE_MILLIS);
        Answer second = fleet.node(3).booking(key, Fleet.DEADLINE_MILLIS);
        assertThat(first.served()).as(first.toString()).isTrue();
        assertThat(second.served()).as(second.toString()).isTrue();
        assertThat(second.output()).isEqualTo(first.output());
        assertThat(fleet.standIns().executions(key)).isOne();
    }

    /**
     * A booking takes long; its caller gives up and sends the same key to another node with a short deadline. At the
     * deadline that node knows that the key is being executed. Guards against the answer "not run", after which the
     * caller would tell its guest that there is no booking.
     */
    @Test
    void aRepeatedRequestWhoseDeadlinePassesDuringTheFirstIsNotReportedAsNotRun() throws Exception {
        for (String service : StandIns.pool(StandIns.SERVICES)) {
            fleet.standIns().fault(service, "{\"fault\": \"slow\", \"factor\": 1000}");
        }
        String key = Fleet.newKey();
        CompletableFuture<Answer> first =
                CompletableFuture.supplyAsync(() -> fleet.node(1).booking(key, Fleet.DEADLINE_MILLIS));
        Waiting.until("the first runs", () -> fleet.node(1).attempts("book") == 1);
        // The second node sends only after it has read its own claim, which follows the claim of the first node in the
        // log.
        CompletableFuture<Answer> other =
                CompletableFuture.supplyAsync(() -> fleet.node(2).booking(Fleet.newKey(), Fleet.DEADLINE_MILLIS));
        Waiting.until("the second node has read the claims", () -> fleet.node(2).attempts("book") == 1);
        Answer repeat = fleet.node(2).booking(key, 2_000);
        assertThat(repeat.run()).as(repeat.toString()).isNotEqualTo("not-run");
        assertThat(first.get().served()).as(first.get().toString()).isTrue();
        assertThat(other.get().served()).as(other.get().toString()).isTrue();
        assertThat(fleet.standIns().executions(key)).isOne();
    }

    private static List<Answer> callConcurrently(List<Callable<Answer>> calls) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(calls.size());
        try {
            List<Answer> answers = new ArrayList<>();
            for (Future<Answer> answer : callers.invokeAll(calls)) {
                answers.add(answer.get());
            }
            return answers;
        } finally {
            callers.shutdownNow();
        }
    }

    private static List<String> upstreamsIn(String domain) {
        List<String> names = new ArrayList<>();
        for (String stage : StandIns.STAGES) {
            names.add(stage + "-" + domain);
        }
        return names;
    }

    private static JsonNode upstream(NodeProcess node, String vm) {
        for (JsonNode upstream : node.admin("upstreams").path("upstreams")) {
            if (upstream.path("vm").asText().equals(vm)) {
                return upstream;
            }
        }
        return Json.object();
    }

    private static void awaitIdle(List<String> upstreams) {
        for (String vm : upstreams) {
            for (NodeProcess node : fleet.nodes()) {
                Waiting.until(
                        node.vm() + " has nothing in flight at " + vm,
                        () -> upstream(node, vm).path("in_flight").asInt() == 0);
            }
        }
    }
}
