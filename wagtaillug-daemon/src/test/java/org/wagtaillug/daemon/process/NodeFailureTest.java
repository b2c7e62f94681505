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

/** A node that dies, stands still or is asked to end, under load. Each test has a fleet of its own. */
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
     * Story: a node's VM is lost while it makes a booking. Callers of the other nodes notice nothing. The guest's caller
     * sees its connection break and asks another node with the same key; if that node took the key over, the table would
     * be booked twice, since the call of the dead node still runs at the service.
     */
    @Test
    void aKilledNodeLosesOnlyWhatItHeldAndNothingRunsTwice() throws Exception {
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
            Waiting.until("the booking runs", () -> killed.inFlight("book") == 1 && services("running") > 0);
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

    private int services(String field) {
        int sum = 0;
        for (String service : StandIns.pool(StandIns.SERVICES)) {
            sum += fleet.standIns().load(service).path(field).asInt();
        }
        return sum;
    }

    /**
     * Story: the host of a node freezes it. The node owns upstreams and believes in grants when it wakes, but others own
     * them now, and the upstreams have restarted meanwhile and are cold. One request that it sent by an old grant, or let
     * another send, would push a cold server over.
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
                    Waiting.until(other.vm() + " sees other owners than the paused node", () -> owned(other) == 0);
                }
                before.awaitServed(50);
                assertThat(before.end()).isEmpty();
            }
            // Nodes that are awake cannot know of a restart before the upstream tells, so they hold no rights here.
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

    /** How many upstreams the first node owns, as another sees it. */
    private static int owned(NodeProcess asked) {
        int owned = 0;
        for (JsonNode line : asked.admin("upstreams").path("upstreams")) {
            if (line.path("owner").asText().startsWith("node-1#")) {
                owned++;
            }
        }
        return owned;
    }

    /** Whether a node may send nothing anywhere: what it was granted before, and its fixed shares, have lapsed. */
    private static boolean withoutRights(NodeProcess node) {
        for (JsonNode upstream : node.admin("upstreams").path("upstreams")) {
            if (upstream.path("allowed").asInt() > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Story: a node has claimed a booking's key on the log and is frozen before it sends. The caller gives up on it and asks
     * another node with the same key. That node cannot know whether the sleeper has sent or will; if it ran the booking, the
     * sleeper would book a second time on waking.
     */
    @Test
    void aBookingThatWasClaimedAndNotSentIsNotRunTwice() throws Exception {
        NodeProcess paused = fleet.node(1);
        boolean claimedAndNotSent = false;
        for (int round = 0; round < ROUNDS && !claimedAndNotSent; round++) {
            String key = Fleet.newKey();
            // The record is on the log at once, but neither the append's answer nor a read tells for a while.
            fleet.standIns().fault("log", "{\"fault\": \"slow\", \"factor\": 900}");
            CompletableFuture<Answer> first =
                    CompletableFuture.supplyAsync(() -> paused.booking(key, Fleet.DEADLINE_MILLIS));
            Waiting.until("the node works on the booking", () -> paused.inFlight("book") == 1 || first.isDone());
            fleet.standIns().fault("log", "{\"fault\": \"none\"}");
            Waiting.until("the claim is on the log", () -> fleet.standIns().recordsWith("claims", key) > 0);
            paused.process().signal(JavaProcess.Signal.STOP);
            claimedAndNotSent = fleet.standIns().executions(key) == 0 && services("running") == 0;
            Waiting.until("the paused node is removed", () -> !fleet.node(2).lists(paused.vm()));
            Answer retry = fleet.node(2).booking(key, Fleet.DEADLINE_MILLIS);
            paused.process().signal(JavaProcess.Signal.CONT);
            paused.awaitReady();
            Answer answer = first.get();
            Answer last = fleet.node(3).booking(key, Fleet.DEADLINE_MILLIS);
            String told = "first " + answer + ", retry " + retry + ", last " + last;
            assertThat(retry.run()).as(told).isNotEqualTo("not-run");
            int executions = fleet.standIns().executions(key);
            assertThat(executions).as(told).isLessThanOrEqualTo(1);
            for (Answer each : List.of(answer, last)) {
                if (each.served()) {
                    assertThat(executions).as(told).isOne();
                }
            }
        }
        assertThat(claimedAndNotSent)
                .as("in one of %d rounds the claim stood and nothing was sent", ROUNDS)
                .isTrue();
    }

    /**
     * Story: operators replace a node's VM; the platform sends it SIGTERM while drafts are in the middle of their text. Each
     * caller gets its whole draft, the node leaves the roster, and the process reports an orderly end.
     */
    @Test
    void aNodeThatIsAskedToEndAnswersAllItsRequestsWhole() throws Exception {
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
