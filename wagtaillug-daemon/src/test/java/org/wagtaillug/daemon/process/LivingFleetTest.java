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

/** What leaves all processes alive. The tests share one fleet and each leaves it without faults. */
class LivingFleetTest {
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
     * Story: operators see connections to the encoders that nobody closed and nobody answers, as when a firewall between
     * has lost track of them. Every node holds such connections from the requests before; new ones work. A caller would
     * see its draft hang until its deadline if the node trusted the open socket.
     */
    @Test
    void draftsAreServedOnNewConnectionsWhenTheOpenOnesGoSilent() throws Exception {
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
     * Story: operators take a failure domain out because its power is about to be cut. The tool says that this is in force
     * on all nodes. From then on what they see running there must only end; a request that started there later would be
     * lost with the domain. Brought back, the domain works again.
     */
    @Test
    void aFailureDomainThatIsOutGetsNothingNew() throws Exception {
        List<String> out = inDomain("zone-b");
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(60);
            assertThat(fleet.operate("domain", "out", "zone-b", "--wait", "--timeout", "60s"))
                    .contains("in force on 3 of 3 nodes");
            awaitIdle(out);
            long before = fleet.standIns().executed(out);
            load.awaitServed(150);
            assertThat(fleet.standIns().executed(out)).isEqualTo(before);
            assertThat(fleet.operate("domain", "back", "zone-b", "--wait", "--timeout", "60s"))
                    .contains("in force on 3 of 3 nodes");
            Waiting.until("zone-b works again", () -> fleet.standIns().executed(out) > before);
            assertThat(load.end()).isEmpty();
        }
    }

    /**
     * Story: the platform is about to replace the VM of an encoder and lists it as leaving. What runs there ends; a
     * request that is sent there after the nodes have read the list would be cut with the VM.
     */
    @Test
    void anUpstreamThatIsLeavingGetsNothingNew() throws Exception {
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
     * Story: two operators, each with a node of their own, change the same pool from the same version at the same moment.
     * If each node took its own operator's change, nodes would differ for good, or one operator would believe in a change
     * that is gone.
     */
    @Test
    void oneOfTwoCrossingChangesWinsEverywhere() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            long base = fleet.node(1).versions().get("pool/rerank");
            int limit = 20 + 2 * round;
            List<Answer> answers = together(List.of(
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
     * Story: an impatient caller sends one booking to three nodes at once. Each node asks the log for the key; only the
     * first may call the service, or the guest has two tables.
     */
    @Test
    void oneKeySentToAllNodesAtOnceIsExecutedOnce() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            String key = Fleet.newKey();
            List<Callable<Answer>> calls = new ArrayList<>();
            for (NodeProcess node : fleet.nodes()) {
                calls.add(() -> node.booking(key, Fleet.DEADLINE_MILLIS));
            }
            List<Answer> answers = together(calls);
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
     * Story: the log takes an operator's change, but the connection breaks before the answer. The operator waits for what
     * came of it. Appending again blindly would make a second version; giving up would call a change lost that is in force.
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
     * Story: an operator's tool loses the answer to a change and sends it again. Meanwhile another operator has changed the
     * same key. Written a second time, from whatever version is newest, the first change would undo the second.
     */
    @Test
    void aChangeThatIsSentAgainIsAnsweredWithItsFirstOutcomeAndNotWrittenAgain() throws Exception {
        NodeProcess node = fleet.node(1);
        String changeId = UUID.randomUUID().toString();
        ObjectNode body = Json.object().put("kind", "pool").put("id", "encode").put("warm_limit", 9);
        Answer first = node.change("pool/encode", -1, body, changeId);
        assertThat(first.status()).as(first.toString()).isEqualTo(200);
        ObjectNode others = body.deepCopy().put("warm_limit", 10);
        Answer between =
                node.change("pool/encode", -1, others, UUID.randomUUID().toString());
        assertThat(between.status()).as(between.toString()).isEqualTo(200);
        assertThat(node.change("pool/encode", -1, body, changeId)).isEqualTo(first);
        assertThat(node.versions())
                .containsEntry("pool/encode", between.json().path("version").asLong());
        assertThat(fleet.standIns().recordsWith("control", changeId)).isOne();
        assertRefused(node.change("pool/encode", -1, others, changeId), 400, 100, "was used for another change");
    }

    @Test
    void whatTheAdministrationInterfaceDoesNotKnowIsRefusedWithACode() throws Exception {
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

    /** Each view has the fields that docs/API.md gives it and that the operators' tool shows. */
    @Test
    void theViewsHaveTheFieldsOfTheirPage() throws Exception {
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
        assertThat(fleet.operate("ownership")).contains("encode-zone-a").contains("yes");
        assertThat(fleet.operate("nodes")).contains("node-3");
    }

    /**
     * Story: the log records the claim of a booking's key, but the answer is lost. The caller waits for its table. A node
     * that claimed again, or that sent without knowing who holds the key, could book twice.
     */
    @Test
    void aBookingWhoseClaimAnswerIsLostRunsOnce() throws Exception {
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
     * Story: a booking takes long, its caller gives up and asks another node with the same key, but with little time. At its
     * deadline that node knows that the key is being run. Were it to answer "not run", the caller would tell its guest so,
     * and the table would be booked all the same.
     */
    @Test
    void aRepeatWhoseDeadlinePassesWhileTheKeyRunsIsNotToldNotRun() throws Exception {
        for (String service : StandIns.pool(StandIns.SERVICES)) {
            fleet.standIns().fault(service, "{\"fault\": \"slow\", \"factor\": 1000}");
        }
        String key = Fleet.newKey();
        CompletableFuture<Answer> first =
                CompletableFuture.supplyAsync(() -> fleet.node(1).booking(key, Fleet.DEADLINE_MILLIS));
        Waiting.until("the first runs", () -> fleet.node(1).attempts("book") == 1);
        // The second node sends only when it has read its own claim, which stands after that of the first.
        CompletableFuture<Answer> other =
                CompletableFuture.supplyAsync(() -> fleet.node(2).booking(Fleet.newKey(), Fleet.DEADLINE_MILLIS));
        Waiting.until("the second node has read the claims", () -> fleet.node(2).attempts("book") == 1);
        Answer repeat = fleet.node(2).booking(key, 2_000);
        assertThat(repeat.run()).as(repeat.toString()).isNotEqualTo("not-run");
        assertThat(first.get().served()).as(first.get().toString()).isTrue();
        assertThat(other.get().served()).as(other.get().toString()).isTrue();
        assertThat(fleet.standIns().executions(key)).isOne();
    }

    private static List<Answer> together(List<Callable<Answer>> calls) throws Exception {
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

    private static List<String> inDomain(String domain) {
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
