package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.daemon.Json;

/** Behaviour while the log service is unavailable. */
class LogOutageTest {
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
     * The log service is down. Drafts are still served. A booking cannot be recorded and is refused as not run. A node
     * that is restarted meanwhile gets the configuration from the other nodes. Guards against losing, after the log is
     * available again, configuration that was in force before, or the ability to change it.
     */
    @Test
    void draftsAreServedBookingsAreRefusedAndConfigurationIsKept() throws Exception {
        Map<String, Long> before = fleet.node(1).versions();
        NodeProcess restarted = fleet.node(1);
        try (Load load = Load.start(List.of(fleet.node(2), fleet.node(3)), 2)) {
            load.awaitServed(50);
            fleet.standIns().fault("log", "{\"fault\": \"outage\"}");
            String key = Fleet.newKey();
            Answer refused = fleet.node(2).booking(key, Fleet.DEADLINE_MILLIS);
            assertThat(refused.resultCode()).as(refused.toString()).isEqualTo(500);
            assertThat(refused.run()).as(refused.toString()).isEqualTo("not-run");
            assertThat(refused.retryAfter()).as(refused.toString()).isNotEmpty();
            assertThat(refused.json().path("retry_after_millis").asLong()).isPositive();
            restarted.process().signal(JavaProcess.Signal.KILL);
            restarted.process().exitCode();
            restarted.start();
            restarted.awaitReady();
            assertThat(restarted.versions()).isEqualTo(before);
            load.awaitServed(100);
            assertThat(load.end()).isEmpty();
            assertThat(fleet.standIns().executions(key)).isZero();
            fleet.standIns().clear();
            assertThat(fleet.standIns().executions(key)).isZero();
        }
        long version = change(before.get("pool/encode"));
        Map<String, Long> after = new HashMap<>(before);
        after.put("pool/encode", version);
        fleet.awaitInForce(version, fleet.nodes());
        for (NodeProcess node : fleet.nodes()) {
            assertThat(node.versions()).isEqualTo(after);
            assertThat(node.digest()).isEqualTo(fleet.node(1).digest());
        }
    }

    /**
     * A VM is replaced while the log service is down. Its new node cannot join the roster, but the load balancer sends
     * it requests as soon as it reports that it is ready. Guards against requests that are not served there.
     */
    @Test
    void aNodeThatStartsDuringTheOutageServesRequests() throws Exception {
        NodeProcess restarted = fleet.node(1);
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(100);
            assertThat(load.end()).isEmpty();
        }
        fleet.standIns().fault("log", "{\"fault\": \"outage\"}");
        restarted.process().signal(JavaProcess.Signal.KILL);
        restarted.process().exitCode();
        restarted.start();
        restarted.awaitReady();
        try (Load load = Load.start(fleet.nodes(), 2)) {
            load.awaitServed(100);
            assertThat(load.end()).isEmpty();
        }
        Answer draft = restarted.draft(Fleet.DEADLINE_MILLIS);
        assertThat(draft.served()).as(draft.toString()).isTrue();
    }

    private long change(long base) {
        ObjectNode body = Json.object().put("kind", "pool").put("id", "encode").put("warm_limit", 9);
        String changeId = UUID.randomUUID().toString();
        Answer answer = fleet.node(2).change("pool/encode", base, body, changeId);
        assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
        return answer.json().path("version").asLong();
    }
}
