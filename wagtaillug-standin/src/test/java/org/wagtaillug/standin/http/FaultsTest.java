package org.wagtaillug.standin.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtaillug.standin.TestProcess;

class FaultsTest {
    private static final String SERVICE =
            "kind: service, name: s, pool: p, domain: d, work-millis: 1, load-lag-millis: 1";
    private static final String ENGINE =
            "kind: engine, name: e, pool: p, domain: d, token-millis: 1, load-lag-millis: 1, cold-limit: 0";
    private static final String CALL =
            "{\"request\": \"r\", \"attempt\": \"a\", \"idempotency_key\": \"k\", \"input\": 1}";
    private static final String STREAM =
            "{\"prompt\": \"p\", \"max_tokens\": %d, \"stream\": true, \"request\": \"r\", \"attempt\": \"a\"}";

    private static int executions(TestProcess process) throws Exception {
        return process.get("s", "/executions").path("executions").path("k").asInt();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "kind: log, name: x",
                "kind: vms, name: x",
                "kind: weights, name: x",
                "kind: service, name: x, pool: p, domain: d",
                "kind: stage, name: x, pool: p, domain: d",
                "kind: engine, name: x, pool: p, domain: d"
            })
    void everyStandInTakesEveryFault(String entry) throws Exception {
        try (TestProcess process = TestProcess.start(entry)) {
            for (String fault : Fault.NAMES) {
                HttpResponse<String> taken =
                        process.call("x", "POST", "/faults", "{\"fault\": \"" + fault + "\", \"factor\": 2}");
                assertThat(taken.statusCode()).as(fault).isEqualTo(200);
                if (fault.equals("outage")) {
                    assertThat(process.call("x", "GET", "/vms", "").statusCode())
                            .isEqualTo(503);
                    process.fault("x", "{\"fault\": \"none\"}");
                }
            }
        }
    }

    @Test
    void refusesAFaultThatItDoesNotKnow() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE)) {
            assertThat(process.fault("s", "{\"fault\": \"outrage\"}")
                            .path("error")
                            .asText())
                    .contains("found 'outrage'", "nearest is 'outage'");
            assertThat(process.fault("s", "{\"fault\": \"slow\", \"factor\": 0}")
                            .path("error")
                            .asText())
                    .contains("factor: found '0'");
            assertThat(process.fault("s", "{\"fault\": \"cut-answer\", \"count\": 0}")
                            .path("error")
                            .asText())
                    .contains("count: found '0'");
        }
    }

    /**
     * Reproduces a middlebox that has lost its connection state: data on open connections is dropped, while new connections
     * work. A caller that waits on an old connection waits forever.
     */
    @Test
    void silencedConnectionsAreNeverAnsweredWhileNewOnesWork() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE);
                Socket socket = process.open("s", "GET", "/load", "")) {
            int next = socket.getInputStream().read();
            while (next != '}') {
                assertThat(next).isPositive();
                next = socket.getInputStream().read();
            }
            process.fault("s", "{\"fault\": \"silent\"}");
            TestProcess.write(socket, "POST", "/confirm", CALL);
            HttpResponse<String> fresh = process.newClient()
                    .send(process.request("s", "POST", "/confirm", CALL), HttpResponse.BodyHandlers.ofString());
            assertThat(fresh.statusCode()).isEqualTo(200);
            assertThat(executions(process)).isOne();
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    @Test
    void aStreamThatIsSilencedRunsOnUnheard() throws Exception {
        try (TestProcess process = TestProcess.start(ENGINE)) {
            CompletableFuture<HttpResponse<String>> stream = process.newClient()
                    .sendAsync(
                            process.request("e", "POST", "/v1/completions", STREAM.formatted(1_000)),
                            HttpResponse.BodyHandlers.ofString());
            TestProcess.until(() -> process.get("e", "/load").path("running").asInt() == 1);
            process.fault("e", "{\"fault\": \"silent\"}");
            TestProcess.until(() -> process.newClient()
                    .send(process.request("e", "GET", "/counters", ""), HttpResponse.BodyHandlers.ofString())
                    .body()
                    .contains("\"executed\":1,"));
            assertThat(stream).isNotDone();
        }
    }

    @Test
    void aSlowUpstreamKeepsItsSlotUntilItStartsAnew() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE)) {
            long startedAt = process.get("s", "/load").path("started_at").asLong();
            process.fault("s", "{\"fault\": \"slow\", \"factor\": 3600000}");
            CompletableFuture<HttpResponse<String>> slow = process.send("s", "POST", "/confirm", CALL);
            TestProcess.until(() -> process.get("s", "/load").path("running").asInt() == 1);
            process.fault("s", "{\"fault\": \"restart\", \"down_millis\": 0}");
            assertThat(slow.get().statusCode()).isEqualTo(503);
            assertThat(process.get("s", "/load").path("started_at").asLong()).isGreaterThan(startedAt);
            assertThat(process.get("s", "/load").path("running").asInt()).isZero();
            process.fault("s", "{\"fault\": \"none\"}");
            assertThat(process.call("s", "POST", "/confirm", CALL).statusCode()).isEqualTo(200);
            assertThat(executions(process)).isOne();
        }
    }

    @Test
    void aRestartingUpstreamAnswersNoCall() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE)) {
            process.fault("s", "{\"fault\": \"restart\", \"down_millis\": 3600000}");
            assertThat(process.call("s", "GET", "/load", "").statusCode()).isEqualTo(503);
            process.fault("s", "{\"fault\": \"restart\", \"down_millis\": 0}");
            assertThat(process.call("s", "GET", "/load", "").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void aLostAnswerHasTakenEffect() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE)) {
            process.fault("s", "{\"fault\": \"answer-lost\", \"count\": 1}");
            CompletableFuture<HttpResponse<String>> lost = process.send("s", "POST", "/confirm", CALL);
            TestProcess.until(() -> executions(process) == 1);
            assertThat(process.call("s", "POST", "/confirm", CALL).statusCode()).isEqualTo(200);
            assertThat(lost).isNotDone();
        }
    }

    @Test
    void aWrongAnswerCarriesAnotherRequest() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE, ENGINE)) {
            process.fault("s", "{\"fault\": \"wrong-answer\", \"count\": 1}");
            process.fault("e", "{\"fault\": \"wrong-answer\", \"count\": 1}");
            assertThat(process.json("s", "POST", "/confirm", CALL)
                            .path("request")
                            .asText())
                    .isNotEqualTo("r");
            assertThat(process.json("s", "POST", "/confirm", CALL)
                            .path("request")
                            .asText())
                    .isEqualTo("r");
            assertThat(process.call("e", "POST", "/v1/completions", STREAM.formatted(3))
                            .body())
                    .doesNotContain("\"request\":\"r\"")
                    .contains("token_offset");
        }
    }

    @Test
    void aCutAnswerEndsInTheMiddle() throws Exception {
        try (TestProcess process = TestProcess.start(SERVICE, ENGINE)) {
            process.fault("s", "{\"fault\": \"cut-answer\", \"count\": 1}");
            assertThatThrownBy(() -> process.call("s", "POST", "/confirm", CALL))
                    .isInstanceOf(IOException.class);
            assertThat(process.call("s", "POST", "/confirm", CALL).statusCode()).isEqualTo(200);
            process.fault("e", "{\"fault\": \"cut-answer\", \"count\": 1}");
            try (Socket socket = process.open("e", "POST", "/v1/completions", STREAM.formatted(100))) {
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(answer).contains("\"token_offset\":49").doesNotContain("\"token_offset\":51", "[DONE]");
            }
        }
    }
}
