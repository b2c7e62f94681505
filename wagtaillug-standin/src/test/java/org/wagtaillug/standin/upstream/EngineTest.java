package org.wagtaillug.standin.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtaillug.standin.TestProcess;
import org.wagtaillug.standin.http.Json;

class EngineTest {
    private static final String ENGINE = "kind: engine, pool: generate, domain: d, token-millis: 1, load-lag-millis: 1";
    private static final String COMPLETIONS = "/v1/completions";
    private static final int ENDLESS = 10_000_000;

    private static String call(String request, int tokens, String more) {
        return "{\"prompt\": \"soup for " + request.charAt(0) + "\", \"max_tokens\": " + tokens + ", \"request\": \""
                + request + "\", \"attempt\": \"" + request + "-1\"" + more + "}";
    }

    private static CompletableFuture<HttpResponse<String>> startEndless(TestProcess process, String request) {
        return process.send("e", "POST", COMPLETIONS, call(request, ENDLESS, ""));
    }

    private static void untilRunning(TestProcess process, int running, int waiting) throws Exception {
        TestProcess.until(() -> {
            JsonNode load = process.get("e", "/load");
            return load.path("running").asInt(-1) == running
                    && load.path("waiting").asInt(-1) == waiting;
        });
    }

    private static List<JsonNode> events(String body) throws Exception {
        List<JsonNode> events = new ArrayList<>();
        for (String line : body.split("\n")) {
            if (line.startsWith("data: {")) {
                events.add(Json.mapper().readTree(line.substring("data: ".length())));
            }
        }
        return events;
    }

    @Test
    void streamsTheSameTokensAsTheWholeAnswer() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, " + ENGINE)) {
            String whole = process.json("e", "POST", COMPLETIONS, call("r", 12, ""))
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
            HttpResponse<String> streamed = process.call("e", "POST", COMPLETIONS, call("r", 12, ", \"stream\": true"));
            List<JsonNode> events = events(streamed.body());
            StringBuilder text = new StringBuilder();
            for (int index = 0; index < events.size(); index++) {
                assertThat(events.get(index).path("token_offset").asInt()).isEqualTo(index);
                assertThat(events.get(index).path("request").asText()).isEqualTo("r");
                text.append(
                        events.get(index).path("choices").path(0).path("text").asText());
            }
            assertThat(text).hasToString(whole);
            assertThat(streamed.headers().firstValue("Content-Type")).contains("text/event-stream");
            assertThat(streamed.body()).endsWith("\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n");
        }
    }

    @Test
    void anotherEngineResumesWhereTheFirstBroke() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, " + ENGINE, "name: f, seed: 9, " + ENGINE)) {
            String stream = ", \"seed\": 3, \"stream\": true";
            List<JsonNode> first = events(process.call("e", "POST", COMPLETIONS, call("r", 10, stream))
                    .body());
            List<JsonNode> rest =
                    events(process.call("f", "POST", COMPLETIONS, call("r", 10, stream + ", \"resume_from\": 6"))
                            .body());
            assertThat(rest).isEqualTo(first.subList(6, 10));
        }
    }

    @Test
    void fallsOverWhenGivenTooMuchWhileCold() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, cold-limit: 2, restart-millis: 1, " + ENGINE)) {
            long startedAt = process.get("e", "/load").path("started_at").asLong();
            List<CompletableFuture<HttpResponse<String>>> running =
                    List.of(startEndless(process, "a"), startEndless(process, "b"));
            untilRunning(process, 2, 0);
            assertThat(startEndless(process, "c").get().statusCode()).isEqualTo(503);
            for (CompletableFuture<HttpResponse<String>> one : running) {
                assertThat(one.get().statusCode()).isEqualTo(503);
            }
            TestProcess.until(() -> process.call("e", "GET", "/load", "").statusCode() == 200);
            assertThat(process.get("e", "/load").path("started_at").asLong()).isGreaterThan(startedAt);
            JsonNode counters = process.get("e", "/counters");
            assertThat(counters.path("fell_over").asInt()).isOne();
            assertThat(counters.path("peak_running_while_cold").asInt()).isEqualTo(3);
            assertThat(counters.path("executed").asInt()).isZero();
        }
    }

    @Test
    void bearsAllItsSlotsOnceWarm() throws Exception {
        try (TestProcess process =
                TestProcess.start("name: e, slots: 2, cold-limit: 1, warm-after: 1, queue: 1, " + ENGINE)) {
            process.call("e", "POST", COMPLETIONS, call("w", 1, ""));
            startEndless(process, "a");
            startEndless(process, "b");
            untilRunning(process, 2, 0);
            startEndless(process, "c");
            untilRunning(process, 2, 1);
            assertThat(startEndless(process, "d").get().statusCode()).isEqualTo(429);
            assertThat(process.get("e", "/counters").path("fell_over").asInt()).isZero();
            assertThat(process.get("e", "/counters").path("refused").asInt()).isOne();
        }
    }

    @Test
    void startsTheMostUrgentFirst() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, slots: 1, cold-limit: 0, " + ENGINE)) {
            startEndless(process, "a");
            untilRunning(process, 1, 0);
            process.send("e", "POST", COMPLETIONS, call("b", 1, ""), "Wagtaillug-Priority", "1");
            untilRunning(process, 1, 1);
            process.send("e", "POST", COMPLETIONS, call("c", 1, ""), "Wagtaillug-Priority", "9");
            untilRunning(process, 1, 2);
            assertThat(process.call("e", "DELETE", COMPLETIONS + "/a-1", "").statusCode())
                    .isEqualTo(200);
            TestProcess.until(
                    () -> process.get("e", "/counters").path("executed").asInt() == 2);
            assertThat(process.get("e", "/counters").path("by_request").fieldNames())
                    .toIterable()
                    .containsExactly("c", "b");
        }
    }

    @Test
    void endsACancelledStream() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, " + ENGINE)) {
            CompletableFuture<HttpResponse<String>> stream =
                    process.send("e", "POST", COMPLETIONS, call("a", ENDLESS, ", \"stream\": true"));
            untilRunning(process, 1, 0);
            process.call("e", "DELETE", COMPLETIONS + "/a-1", "");
            assertThat(stream.get().body())
                    .contains("\"finish_reason\":\"cancelled\"")
                    .endsWith("data: [DONE]\n\n");
            assertThat(process.get("e", "/counters").path("cancelled").asInt()).isOne();
            assertThat(process.call("e", "DELETE", COMPLETIONS + "/a-1", "").statusCode())
                    .isEqualTo(404);
        }
    }

    /**
     * Guards against a slot that stays occupied after its caller has disconnected before the first token. The engine has
     * not written anything by then, so no write fails; the disconnect is found only by checking the connection.
     */
    @Test
    void aClosedConnectionFreesTheSlotBeforeTheFirstToken() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, first-token-millis: 3600000, " + ENGINE)) {
            Socket socket = process.open("e", "POST", COMPLETIONS, call("a", 1, ""));
            untilRunning(process, 1, 0);
            socket.close();
            untilRunning(process, 0, 0);
            assertThat(process.get("e", "/counters").path("cancelled").asInt()).isOne();
        }
    }

    @Test
    void refusesAnOrderWithAnOlderFencingNumberIfItChecks() throws Exception {
        try (TestProcess process = TestProcess.start(
                "name: e, checks-fencing: true, " + ENGINE, "name: f, checks-fencing: false, " + ENGINE)) {
            String newer = "{\"order\": \"load\", \"model\": \"m\", \"version\": 2, \"fencing_number\": 13}";
            String older = "{\"order\": \"load\", \"model\": \"m\", \"version\": 1, \"fencing_number\": 12}";
            for (String engine : List.of("e", "f")) {
                assertThat(process.call(engine, "POST", "/orders", newer).statusCode())
                        .isEqualTo(200);
            }
            HttpResponse<String> refused = process.call("e", "POST", "/orders", older);
            assertThat(refused.statusCode()).isEqualTo(409);
            assertThat(Json.mapper()
                            .readTree(refused.body())
                            .path("fencing_number")
                            .asInt())
                    .isEqualTo(13);
            assertThat(process.get("e", "/load").path("version").asInt()).isEqualTo(2);
            assertThat(process.call("f", "POST", "/orders", older).statusCode()).isEqualTo(200);
            assertThat(process.get("f", "/load").path("version").asInt()).isEqualTo(1);
        }
    }

    @Test
    void refusesAModelThatIsNotLoaded() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, model: menu-7b, " + ENGINE)) {
            HttpResponse<String> refused =
                    process.call("e", "POST", COMPLETIONS, call("a", 1, ", \"model\": \"guest-8b\""));
            assertThat(refused.statusCode()).isEqualTo(404);
            assertThat(refused.body()).contains("guest-8b", "loaded is menu-7b");
        }
    }

    @Test
    void tellsOfCachedPrefixesAndHandsThemOver() throws Exception {
        try (TestProcess process = TestProcess.start("name: e, " + ENGINE, "name: f, " + ENGINE)) {
            process.call("e", "POST", COMPLETIONS, call("a", 1, ""));
            process.call("e", "POST", COMPLETIONS, call("b", 1, ""));
            TestProcess.until(
                    () -> process.get("e", "/cache/events").path("next").asInt() == 3);
            JsonNode event = process.get("e", "/cache/events").path("events").path(0);
            assertThat(event.path("kind").asText()).isEqualTo("stored");
            String path = "/kv/" + event.path("prefix").asText();
            String cache = process.call("e", "GET", path, "").body();
            assertThat(process.call("f", "GET", path, "").statusCode()).isEqualTo(404);
            assertThat(process.call("f", "PUT", path, cache).statusCode()).isEqualTo(200);
            assertThat(process.call("f", "GET", path, "").body()).isEqualTo(cache);
        }
    }
}
