package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.daemon.Json;

/** A node that crashes, is paused or is asked to shut down, under load. Each test has its own fleet. */
class NodeFailureTest {
    private static final int COLD_LIMIT = 2;
    private static final int ROUNDS = 5;

    @TempDir
    private Path directory;

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = Fleet.start(directory);
    }

    @AfterEach
    void end() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /**
     * The VM of a node is lost during a booking. Requests to other nodes are not affected. The caller of the booking
     * sees its connection break and sends the same key to another node. Guards against a node that takes over the key:
     * the table would be booked twice, as the call of the dead node is still running at the service.
     */
    @Test
    void aKilledNodeLosesOnlyItsOwnRequestsAndNothingIsExecutedTwice() throws Exception {
        NodeProcess killed = fleet.node(1);
        List<NodeProcess> others = List.of(fleet.node(2), fleet.node(3));
        String done = Fleet.newKey();
        Answer confirmed = killed.booking(done, Fleet.DEADLINE_MILLIS);
        assertThat(confirmed.served()).as(confirmed.toString()).isTrue();
        for (String service : StandIns.pool(StandIns.SERVICES)) {
            fleet.standIns().fault(service, "{\"fault\": \"slow\", \"factor\": 500}");
        }
        String key = Fleet.newKey();
        try (Load load = Load.start(others, 2)) {
            CompletableFuture<Answer> first =
                    CompletableFuture.supplyAsync(() -> killed.booking(key, Fleet.DEADLINE_MILLIS));
            Waiting.until("the booking runs", () -> killed.inFlight("book") == 1 && sumOverServices("running") > 0);
            killed.process().signal(JavaProcess.Signal.KILL);
            assertThat(first.get().status()).as("the caller's connection broke").isZero();
            Answer retry = fleet.node(2).booking(key, Fleet.DEADLINE_MILLIS);
            assertThat(retry.served()).as(retry.toString()).isFalse();
            assertThat(retry.run()).as(retry.toString()).isEqualTo("unknown");
            for (NodeProcess other : others) {
                Waiting.until(other.vm() + " has removed the dead node", () -> !other.lists(killed.vm()));
            }
            load.awaitServed(100);
            assertThat(load.end()).isEmpty();
        }
        Waiting.until("the service has done the booking", () -> fleet.standIns().executions(key) == 1);
        Answer last = fleet.node(3).booking(key, Fleet.DEADLINE_MILLIS);
        assertThat(last.run()).as(last.toString()).isEqualTo("unknown");
        assertThat(fleet.standIns().executions(key)).isOne();
        Answer repeated = fleet.node(3).booking(done, Fleet.DEADLINE_MILLIS);
        assertThat(repeated.output()).isEqualTo(confirmed.output());
        assertThat(fleet.standIns().executions(done)).isOne();
    }

    private int sumOverServices(String field) {
        int sum = 0;
        for (String service : StandIns.pool(StandIns.SERVICES)) {
            sum += fleet.standIns().load(service).path(field).asInt();
        }
        return sum;
    }

    /**
     * The host of a node suspends it. The node owns upstreams and holds grants, but on waking other nodes own these
     * upstreams, which have restarted in the meantime and are cold. Guards against a request that is sent, or allowed
     * to another node, by an expired grant: it would overload a cold server.
     */
    @Test
    void aNodeThatWakesAfterItsLeaseGrantsAndSendsNothingByOldRights() throws Exception {
        NodeProcess paused = fleet.node(1);
        List<NodeProcess> others = List.of(fleet.node(2), fleet.node(3));
        try (Load atPaused = Load.start(List.of(paused), 8)) {
            try (Load before = Load.start(others, 3)) {
                before.awaitServed(200);
                atPaused.awaitServed(200);
                paused.process().signal(JavaProcess.Signal.STOP);
                for (NodeProcess other : others) {
                    Waiting.until(other.vm() + " sees other owners than the paused node", () -> countOwned(other) == 0);
                }
                before.awaitServed(50);
                assertThat(before.end()).isEmpty();
            }
            // Running nodes cannot know of a restart before the upstream reports it, so they must not hold rights here.
            for (String upstream : StandIns.stages()) {
                fleet.standIns().fault(upstream, "{\"fault\": \"restart\", \"down_millis\": 0}");
            }
            for (NodeProcess other : others) {
                Waiting.until(other.vm() + " has no right from before the restart", () -> withoutRights(other));
            }
            try (Load after = Load.start(others, 3)) {
                paused.process().signal(JavaProcess.Signal.CONT);
                for (NodeProcess node : fleet.nodes()) {
                    Waiting.until(node.vm() + " lists the node that was paused", () -> node.lists(paused.vm()));
                }
                paused.awaitReady();
                atPaused.awaitServed(30);
                after.awaitServed(100);
                assertThat(after.end()).isEmpty();
            }
            atPaused.end();
        }
        for (String upstream : StandIns.stages()) {
            JsonNode counters = fleet.standIns().counters(upstream);
            String seen = upstream + " at its restart and after: fell over " + counters.path("fell_over");
            assertThat(counters.path("fell_over").asLong()).as(seen).isZero();
            assertThat(counters.path("peak_running_while_cold").asInt())
                    .as(seen)
                    .isLessThanOrEqualTo(COLD_LIMIT);
        }
    }

    /** The number of upstreams that the first node owns according to another node. */
    private static int countOwned(NodeProcess asked) {
        int countOwned = 0;
        for (JsonNode line : asked.admin("upstreams").path("upstreams")) {
            if (line.path("owner").asText().startsWith("node-1#")) {
                countOwned++;
            }
        }
        return countOwned;
    }

    /** Whether a node may not send to any upstream because its earlier grants and its fixed shares have expired. */
    private static boolean withoutRights(NodeProcess node) {
        for (JsonNode upstream : node.admin("upstreams").path("upstreams")) {
            if (upstream.path("allowed").asInt() > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * A node has claimed the key of a booking in the log and is suspended before it sends. The caller gives up and
     * sends the same key to another node, which cannot know whether the first node has sent the booking or will. Guards
     * against executing the booking on the second node: the first one would book again on waking.
     */
    @Test
    void aBookingThatWasClaimedButNotSentIsNotExecutedTwice() throws Exception {
        NodeProcess paused = fleet.node(1);
        boolean claimedAndNotSent = false;
        for (int round = 0; round < ROUNDS && !claimedAndNotSent; round++) {
            String key = Fleet.newKey();
            // The record is appended immediately, but the answer to the append and all reads are delayed.
            fleet.standIns().fault("log", "{\"fault\": \"slow\", \"factor\": 900}");
            CompletableFuture<Answer> first =
                    CompletableFuture.supplyAsync(() -> paused.booking(key, Fleet.DEADLINE_MILLIS));
            Waiting.until("the node works on the booking", () -> paused.inFlight("book") == 1 || first.isDone());
            fleet.standIns().fault("log", "{\"fault\": \"none\"}");
            Waiting.until("the claim is on the log", () -> fleet.standIns().recordsWith("claims", key) > 0);
            paused.process().signal(JavaProcess.Signal.STOP);
            claimedAndNotSent = fleet.standIns().executions(key) == 0 && sumOverServices("running") == 0;
            Waiting.until("the paused node is removed", () -> !fleet.node(2).lists(paused.vm()));
            Answer retry = fleet.node(2).booking(key, Fleet.DEADLINE_MILLIS);
            paused.process().signal(JavaProcess.Signal.CONT);
            paused.awaitReady();
            Answer answer = first.get();
            Answer last = fleet.node(3).booking(key, Fleet.DEADLINE_MILLIS);
            String description = "first " + answer + ", retry " + retry + ", last " + last;
            assertThat(retry.run()).as(description).isNotEqualTo("not-run");
            int executions = fleet.standIns().executions(key);
            assertThat(executions).as(description).isLessThanOrEqualTo(1);
            for (Answer each : List.of(answer, last)) {
                if (each.served()) {
                    assertThat(executions).as(description).isOne();
                }
            }
        }
        assertThat(claimedAndNotSent)
                .as("in one of %d rounds the claim stood and nothing was sent", ROUNDS)
                .isTrue();
    }

    /**
     * Operators replace the VM of a node; the platform sends SIGTERM while drafts are being generated. Each caller must
     * get its complete draft, the node must leave the roster, and the process must exit with code 0.
     */
    @Test
    void aNodeThatShutsDownCompletesAllItsRequests() throws Exception {
        NodeProcess ending = fleet.node(1);
        for (String engine : StandIns.pool("generate")) {
            fleet.standIns().fault(engine, "{\"fault\": \"slow\", \"factor\": 60}");
        }
        List<CompletableFuture<Answer>> callers = new ArrayList<>();
        for (int caller = 0; caller < 3; caller++) {
            boolean stream = caller == 0;
            callers.add(CompletableFuture.supplyAsync(() -> ending.request(
                    "draft",
                    Json.object().put("max_tokens", 8).put("stream", stream),
                    Fleet.DEADLINE_MILLIS,
                    Map.of())));
        }
        Waiting.until("all drafts are being generated", () -> ending.inFlight("generate") == 3);
        ending.process().signal(JavaProcess.Signal.TERM);
        Answer streamed = callers.get(0).get();
        assertThat(streamed.status()).isEqualTo(200);
        assertThat(streamed.text().split("token_offset", -1))
                .as(streamed.text())
                .hasSize(9);
        assertThat(streamed.text()).contains("event: end").contains("\"result_code\":0");
        for (CompletableFuture<Answer> caller : callers.subList(1, callers.size())) {
            assertThat(caller.get().served()).as(caller.get().toString()).isTrue();
            assertThat(caller.get().output().path("tokens").asInt())
                    .as(caller.get().toString())
                    .isEqualTo(8);
        }
        assertThat(ending.process().exitCode()).as(ending.process().output()).isZero();
        for (NodeProcess other : List.of(fleet.node(2), fleet.node(3))) {
            Waiting.until(other.vm() + " no longer lists the node that ended", () -> !other.lists(ending.vm()));
        }
    }
}
