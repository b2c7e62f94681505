package org.wagtaillug.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtaillug.standin.TestProcess;

class PlatformTest {
    private static final String RECORDS = "/streams/s/records";
    private static final String VM = """
            {"vm": "n", "kind": "node", "domain": "d", "region": "r", "address": "127.0.0.1", "port": 1, "state": "%s"}""";

    @Test
    void theLogGivesRecordsInOrder() throws Exception {
        try (TestProcess process = TestProcess.start("kind: log, name: log")) {
            for (int offset = 1; offset <= 3; offset++) {
                assertThat(process.json("log", "POST", RECORDS, "record")
                                .path("offset")
                                .asInt())
                        .isEqualTo(offset);
            }
            JsonNode read = process.get("log", RECORDS + "?from=2&limit=1");
            assertThat(read.path("oldest").asInt()).isEqualTo(1);
            assertThat(read.path("end").asInt()).isEqualTo(4);
            assertThat(read.path("records")).hasSize(1);
            assertThat(read.path("records").path(0).path("offset").asInt()).isEqualTo(2);
            assertThat(read.path("records").path(0).path("data").binaryValue()).isEqualTo("record".getBytes());
            JsonNode empty = process.get("log", "/streams/none/records?from=5");
            assertThat(empty.path("oldest").asInt()).isEqualTo(1);
            assertThat(empty.path("end").asInt()).isEqualTo(1);
        }
    }

    @Test
    void aWaitingReaderGetsTheNextRecord() throws Exception {
        try (TestProcess process = TestProcess.start("kind: log, name: log")) {
            CompletableFuture<HttpResponse<String>> reader =
                    process.send("log", "GET", RECORDS + "?from=1&wait=60000", "");
            process.call("log", "POST", RECORDS, "record");
            assertThat(reader.get().body()).contains("\"offset\":1");
        }
    }

    @Test
    void theLogRefusesWhatIsTooLargeOrTooMuch() throws Exception {
        try (TestProcess process = TestProcess.start("kind: log, name: log, appends-per-second: 1")) {
            assertThat(process.call("log", "POST", RECORDS, "x".repeat(262_145)).statusCode())
                    .isEqualTo(413);
            assertThat(process.call("log", "POST", RECORDS, "x".repeat(262_144)).statusCode())
                    .isEqualTo(200);
            TestProcess.until(() -> process.call("log", "POST", RECORDS, "x").statusCode() == 429);
        }
    }

    @Test
    void theLogDropsOldRecordsAndKeepsCounting() throws Exception {
        try (TestProcess process = TestProcess.start("kind: log, name: log, retention-millis: 1")) {
            process.call("log", "POST", RECORDS, "first");
            TestProcess.until(() -> process.get("log", RECORDS).path("oldest").asInt() == 2);
            JsonNode read = process.get("log", RECORDS + "?from=1");
            assertThat(read.path("end").asInt()).isEqualTo(2);
            assertThat(read.path("records")).isEmpty();
            assertThat(process.json("log", "POST", RECORDS, "second")
                            .path("offset")
                            .asInt())
                    .isEqualTo(2);
        }
    }

    /**
     * An append whose answer is lost must still take effect: a node that gets no answer and appends again has the record
     * twice.
     */
    @Test
    void anAppendTakesEffectThoughItsAnswerIsLost() throws Exception {
        try (TestProcess process = TestProcess.start("kind: log, name: log")) {
            process.fault("log", "{\"fault\": \"answer-lost\", \"count\": 1}");
            CompletableFuture<HttpResponse<String>> lost = process.send("log", "POST", RECORDS, "record");
            TestProcess.until(() -> process.get("log", RECORDS).path("end").asInt() == 2);
            assertThat(process.json("log", "POST", RECORDS, "record")
                            .path("offset")
                            .asInt())
                    .isEqualTo(2);
            assertThat(lost).isNotDone();
        }
    }

    @Test
    void aChangeOfTheVmListShowsAfterItsLag() throws Exception {
        try (TestProcess process = TestProcess.start(
                "kind: vms, name: slow, lag-millis: 3600000",
                "kind: vms, name: vms, lag-millis: 1",
                "kind: service, name: s-1, pool: p, domain: d")) {
            assertThat(process.get("vms", "/vms").path("vms")).hasSize(1);
            assertThat(process.get("vms", "/vms")
                            .path("vms")
                            .path(0)
                            .path("pool")
                            .asText())
                    .isEqualTo("p");
            for (String list : List.of("slow", "vms")) {
                assertThat(process.call(list, "PUT", "/vms/n", VM.formatted("live"))
                                .statusCode())
                        .isEqualTo(200);
            }
            TestProcess.until(() -> process.get("vms", "/vms").path("vms").size() == 2);
            process.call("vms", "PUT", "/vms/n", VM.formatted("leaving"));
            TestProcess.until(() -> process.get("vms", "/vms")
                    .path("vms")
                    .path(0)
                    .path("state")
                    .asText()
                    .equals("leaving"));
            process.call("vms", "DELETE", "/vms/n", "");
            TestProcess.until(() -> process.get("vms", "/vms").path("vms").size() == 1);
            assertThat(process.get("slow", "/vms").path("vms")).hasSize(1);
        }
    }

    @Test
    void theVmListRefusesAWrongEntry() throws Exception {
        try (TestProcess process = TestProcess.start("kind: vms, name: vms")) {
            assertThat(process.call("vms", "PUT", "/vms/n", VM.formatted("leafing"))
                            .body())
                    .contains("state: found 'leafing'", "nearest is 'leaving'");
            assertThat(process.call("vms", "PUT", "/vms/other", VM.formatted("live"))
                            .statusCode())
                    .isEqualTo(400);
            assertThat(process.call("vms", "DELETE", "/vms/n", "").statusCode()).isEqualTo(404);
        }
    }

    @Test
    void theWeightStoreStreamsTheSameBytes() throws Exception {
        try (TestProcess process =
                TestProcess.start("kind: weights, name: w, size-bytes: 300001, bytes-per-second: 100000000")) {
            HttpResponse<byte[]> first = weights(process);
            assertThat(first.body()).hasSize(300_001).isEqualTo(weights(process).body());
        }
    }

    private static HttpResponse<byte[]> weights(TestProcess process) throws Exception {
        return process.newClient()
                .send(process.request("w", "GET", "/weights/m/1", ""), HttpResponse.BodyHandlers.ofByteArray());
    }
}
