package org.wagtaillug.standin.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtaillug.standin.TestProcess;

class WorkUpstreamsTest {
    private static final String STAGE = "kind: stage, pool: p, domain: d, work-millis: 1";
    private static final String SERVICE = "kind: service, pool: p, domain: d, work-millis: 1";

    private static String call(String attempt, String input) {
        return "{\"request\": \"r\", \"attempt\": \"" + attempt + "\", \"idempotency_key\": \"k\", \"input\": " + input
                + "}";
    }

    @Test
    void stagesEncodeRetrieveAndRerank() throws Exception {
        try (TestProcess process = TestProcess.start(
                "name: encode, stage: encode, " + STAGE,
                "name: retrieve, stage: retrieve, " + STAGE,
                "name: rerank, stage: rerank, " + STAGE)) {
            JsonNode input = process.json("encode", "POST", "/stages/encode", call("a", "{\"text\": \"soup\"}"));
            assertThat(input.path("request").asText()).isEqualTo("r");
            assertThat(input.path("attempt").asText()).isEqualTo("a");
            JsonNode documents = process.json(
                            "retrieve",
                            "POST",
                            "/stages/retrieve",
                            call("a", input.path("output").toString()))
                    .path("output");
            assertThat(documents).hasSize(5);
            JsonNode ordered = process.json("rerank", "POST", "/stages/rerank", call("a", documents.toString()))
                    .path("output");
            assertThat(ordered).containsExactlyInAnyOrderElementsOf(documents);
            assertThat(ordered.path(0).path("score").asDouble())
                    .isGreaterThan(ordered.path(4).path("score").asDouble());
            assertThat(process.call("encode", "POST", "/stages/rerank", call("a", "1"))
                            .statusCode())
                    .isEqualTo(404);
        }
    }

    @Test
    void aServiceRunsARepeatedKeyAgain() throws Exception {
        try (TestProcess process = TestProcess.start("name: s, " + SERVICE)) {
            String first = confirmation(process.json("s", "POST", "/confirm", call("a", "1")));
            String second = confirmation(process.json("s", "POST", "/confirm", call("b", "1")));
            assertThat(second).isNotEqualTo(first);
            assertThat(process.get("s", "/executions")
                            .path("executions")
                            .path("k")
                            .asInt())
                    .isEqualTo(2);
            process.fault("s", "{\"fault\": \"restart\", \"down_millis\": 0}");
            assertThat(process.get("s", "/executions")
                            .path("executions")
                            .path("k")
                            .asInt())
                    .isEqualTo(2);
        }
    }

    @Test
    void aServiceThatChecksKeysRepeatsItsFirstAnswer() throws Exception {
        try (TestProcess process = TestProcess.start("name: s, checks-keys: true, " + SERVICE)) {
            List<CompletableFuture<HttpResponse<String>>> together = List.of(
                    process.send("s", "POST", "/confirm", call("a", "1")),
                    process.send("s", "POST", "/confirm", call("a", "1")));
            String first = together.get(0).get().body();
            assertThat(together.get(1).get().body()).isEqualTo(first);
            assertThat(process.call("s", "POST", "/confirm", call("a", "1")).body())
                    .isEqualTo(first);
            assertThat(process.get("s", "/executions")
                            .path("executions")
                            .path("k")
                            .asInt())
                    .isOne();
        }
    }

    @Test
    void saysWhatIsMissing() throws Exception {
        try (TestProcess process = TestProcess.start("name: s, " + SERVICE)) {
            assertThat(process.json("s", "POST", "/confirm", "{\"request\": \"r\"}")
                            .path("error")
                            .asText())
                    .isEqualTo("attempt: missing, expected the attempt's id");
            assertThat(process.call("s", "POST", "/confirm", "{").statusCode()).isEqualTo(400);
            assertThat(process.call("s", "POST", "/confirm", call("a", "1"), "Wagtaillug-Priority", "10")
                            .statusCode())
                    .isEqualTo(400);
        }
    }

    private static String confirmation(JsonNode answer) {
        return answer.path("output").path("confirmation").asText();
    }
}
