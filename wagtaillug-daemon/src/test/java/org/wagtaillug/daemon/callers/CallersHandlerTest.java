package org.wagtaillug.daemon.callers;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.StageId;
import org.wagtaillug.node.Event;
import org.wagtaillug.result.Payload;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;

class CallersHandlerTest {
    private static final String KEY = "0193f1b2-7c00-7abc-8def-0123456789ab";
    private static final int MAX_BODY_BYTES = 1000;
    private static final int LARGER_THAN_BUFFERS = 16_000_000;
    private static final int LARGE_PARTS = 100;
    private static final int LARGE_PART_BYTES = 80_000;

    /** Less than the 1,000 bytes that the slow caller may send, at one byte in 10 ms. */
    private static final long SLOW_READER_PAUSE_MILLIS = 700;

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Exchanges exchanges = new Exchanges();
    private final Server server = new Server();
    private final HttpClient client = HttpClient.newHttpClient();
    private CallersHandler handler;
    private int port;

    @BeforeEach
    void listen() throws Exception {
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        handler = new CallersHandler(
                exchanges,
                events::add,
                new LeaseClock(),
                () -> true,
                new CallersHandler.Limits(MAX_BODY_BYTES, Duration.ofMillis(300)));
        server.setHandler(handler);
        server.start();
        port = connector.getLocalPort();
    }

    @AfterEach
    void close() throws Exception {
        server.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"input\": 1|the body is not JSON",
                "[1]|expected an object with \"input\"",
                "{\"inptu\": 1}|the body has no \"input\"",
                "{\"input\": 1, \"input\": 2}|Duplicate field 'input'",
                "{\"input\": 1} {}|Trailing token",
                "{\"input\": 1, \"max_tokens\": \"many\"}|max_tokens is \"many\"; expected a whole number from 1",
                "{\"input\": 1, \"max_tokens\": 0}|max_tokens is 0",
                "{\"input\": 1, \"stream\": 1}|stream is 1; expected true or false",
                "{\"input\": 1, \"prefix\": 1}|prefix is 1; expected a text",
            })
    void anInvalidBodyIsRefusedWithAMessageThatNamesTheFault(String body, String message) throws Exception {
        JsonNode answer = send(request(body).header("Wagtaillug-Customer", "c")).body();
        assertThat(answer.path("result_code").asInt()).isEqualTo(ResultCode.MALFORMED.number());
        assertThat(answer.path("run").asText()).isEqualTo("not-run");
        assertThat(answer.path("message").asText()).contains(message);
        assertThat(exchanges.size()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "Idempotency-Key, order-7, expected a UUID of version 7",
        "Idempotency-Key, 123e4567-e89b-42d3-a456-426614174000, expected a UUID of version 7",
        "Wagtaillug-Deadline-Millis, soon, expected milliseconds as a whole number",
    })
    void anInvalidHeaderIsRefusedWithAMessageThatNamesIt(String name, String value, String message) throws Exception {
        JsonNode answer = send(request("{\"input\": 1}")
                        .header("Wagtaillug-Customer", "c")
                        .header(name, value))
                .body();
        assertThat(answer.path("result_code").asInt()).isEqualTo(ResultCode.MALFORMED.number());
        assertThat(answer.path("message").asText()).contains(name, value, message);
    }

    @Test
    void anAnswerThatTakesLongerThanTheIdleTimeoutIsSent() throws Exception {
        // Guards against an idle timeout of the server that closes the connection of a request whose service takes
        // long: the caller would not learn that the table was booked. The production timeout is half a minute.
        ((ServerConnector) server.getConnectors()[0]).setIdleTimeout(50);
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                request("{\"input\": 1}").header("Wagtaillug-Customer", "c").build(),
                HttpResponse.BodyHandlers.ofString());
        Event.RequestArrived arrived = (Event.RequestArrived) events.poll(10, TimeUnit.SECONDS);
        CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS).execute(() -> exchanges
                .remove(arrived.request().id())
                .ifPresent(exchange -> exchange.served(1, Payload.of("1"))));
        assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        assertThat(events).isEmpty();
    }

    @Test
    void aBodyThatIsTooLongIsRefusedBeforeItIsRead() throws Exception {
        String body = "{\"input\": \"" + "x".repeat(MAX_BODY_BYTES) + "\"}";
        Answer answer = send(request(body).header("Wagtaillug-Customer", "c"));
        assertThat(answer.status()).isEqualTo(413);
        assertThat(answer.body().path("message").asText()).contains("expected at most 1000 bytes");
    }

    @Test
    void aRequestWhoseBodyStallsIsRefusedAndNotKept() throws Exception {
        // A caller sends the header and half of the body, and then nothing, on a connection that stays open. Without a
        // time limit each such caller would occupy memory on the node indefinitely.
        try (Socket socket = new Socket("127.0.0.1", port)) {
            OutputStream out = socket.getOutputStream();
            out.write(("POST /v1/templates/t/requests HTTP/1.1\r\nHost: x\r\nWagtaillug-Customer: c\r\n"
                            + "Content-Length: 100\r\n\r\n{\"input\": ")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.setSoTimeout(20_000);
            StringBuilder answer = new StringBuilder();
            while (answer.indexOf("}") < 0) {
                answer.append((char) socket.getInputStream().read());
            }
            assertThat(answer.toString()).startsWith("HTTP/1.1 408").contains("was not complete within 300 ms");
        }
        assertThat(exchanges.size()).isZero();
        assertThat(events).isEmpty();
    }

    @Test
    void twoRequestsInFlightWithOneIdAreNotMixedUp() throws Exception {
        // A caller retries with the same request id while its first request is in flight. Guards against sending the
        // answer of one to the connection of the other.
        CompletableFuture<HttpResponse<String>> first = client.sendAsync(
                request("{\"input\": 1}")
                        .header("Wagtaillug-Customer", "c")
                        .header("Wagtaillug-Request", "twin")
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        assertThat(events.poll(10, TimeUnit.SECONDS)).isInstanceOf(Event.RequestArrived.class);
        Answer second = send(
                request("{\"input\": 2}").header("Wagtaillug-Customer", "c").header("Wagtaillug-Request", "twin"));
        assertThat(second.body().path("result_code").asInt()).isEqualTo(ResultCode.REQUEST_IN_FLIGHT.number());
        exchanges.remove(new RequestId("twin")).orElseThrow().served(3, Payload.of("\"one\""));
        JsonNode answer = Json.read(first.get().body()).get();
        assertThat(answer.path("output").asText()).isEqualTo("one");
        assertThat(answer.path("template_version").asLong()).isEqualTo(3);
    }

    @Test
    void theTimeInTheKeyIsItsIssueTime() throws Exception {
        client.sendAsync(
                request("{\"input\": 1}")
                        .header("Wagtaillug-Customer", "c")
                        .header("Idempotency-Key", KEY)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        Event.RequestArrived arrived = (Event.RequestArrived) events.poll(10, TimeUnit.SECONDS);
        assertThat(arrived.request().key().orElseThrow().issuedAt().toEpochMilli())
                .isEqualTo(0x0193f1b27c00L);
    }

    @Test
    void aStreamThatIsRefusedAfterItsStartEndsWithTheResultCode() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                request("{\"input\": 1, \"stream\": true}")
                        .header("Wagtaillug-Customer", "c")
                        .header("Wagtaillug-Request", "s")
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        events.poll(10, TimeUnit.SECONDS);
        CallerExchange exchange = exchanges.remove(new RequestId("s")).orElseThrow();
        AttemptId attempt = new AttemptId(new RequestId("s"), new StageId("generate"), 1);
        assertThat(exchange.nextToken(new StageId("generate"))).isZero();
        exchange.acceptToken(attempt, 0, "Five ");
        exchange.acceptToken(attempt, 1, "lunches");
        exchange.refused(
                4, Refusal.unknown(ResultCode.DEADLINE_EXCEEDED, Duration.ofSeconds(1), "the deadline passed"));
        String text = answer.get().body();
        assertThat(text).contains("\"token_offset\":0,\"text\":\"Five \"", "\"token_offset\":1,\"text\":\"lunches\"");
        assertThat(text).endsWith("\n\n").contains("event: end\ndata: {", "\"result_code\":302", "\"run\":\"unknown\"");
    }

    @Test
    void aRefusalStatesWhenToRetry() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                request("{\"input\": 1}")
                        .header("Wagtaillug-Customer", "c")
                        .header("Wagtaillug-Request", "r")
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        events.poll(10, TimeUnit.SECONDS);
        exchanges
                .remove(new RequestId("r"))
                .orElseThrow()
                .refused(0, Refusal.notRun(ResultCode.OVERLOADED, Duration.ofMillis(1200), "full"));
        assertThat(answer.get().statusCode()).isEqualTo(503);
        assertThat(answer.get().headers().firstValue("Retry-After")).contains("2");
        assertThat(Json.read(answer.get().body())
                        .get()
                        .path("retry_after_millis")
                        .asInt())
                .isEqualTo(1200);
    }

    @Test
    void anAnswerCountsAsSentWhenItIsCompletelyWritten() throws Exception {
        // A node shuts down while a caller reads a large answer. Guards against counting the answer as sent when
        // writing starts: it would be truncated when the ports close.
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(4096);
            caller.connect(new InetSocketAddress("127.0.0.1", port));
            caller.setSoTimeout(20_000);
            caller.getOutputStream()
                    .write(("POST /v1/templates/t/requests HTTP/1.1\r\nHost: x\r\nWagtaillug-Customer: c\r\n"
                                    + "Connection: close\r\nContent-Length: 12\r\n\r\n{\"input\": 1}")
                            .getBytes(StandardCharsets.US_ASCII));
            Event.RequestArrived arrived = (Event.RequestArrived) events.poll(10, TimeUnit.SECONDS);
            assertThat(handler.awaitAnswers(Duration.ZERO)).isFalse();
            Payload large = Payload.of("\"" + "x".repeat(LARGER_THAN_BUFFERS) + "\"");
            exchanges.remove(arrived.request().id()).orElseThrow().served(1, large);
            caller.getInputStream().read();
            assertThat(handler.awaitAnswers(Duration.ofMillis(50))).isFalse();
            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGER_THAN_BUFFERS);
            assertThat(handler.awaitAnswers(Duration.ofSeconds(10))).isTrue();
        }
    }

    @Test
    void aCallerThatIsStillSendingAfterTheDrainIsRefusedAsNotRun() throws Exception {
        // A caller is sending its body when the node has finished draining. Guards against closing the port without an
        // answer, after which the caller could not tell whether its request was executed.
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write(("POST /v1/templates/t/requests HTTP/1.1\r\nHost: x\r\nWagtaillug-Customer: c\r\n"
                                    + "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(line(socket)).contains("100");
            handler.refuseAll();
            assertThat(line(socket)).isEmpty();
            assertThat(line(socket)).startsWith("HTTP/1.1 503");
        }
        assertThat(handler.awaitAnswers(Duration.ofSeconds(10))).isTrue();
        assertThat(events).isEmpty();
    }

    /** Guards against a connection that is reset while its caller still sends, which loses the refusal. */
    @ParameterizedTest
    @CsvSource({"Content-Length: 8000000", "Transfer-Encoding: chunked"})
    void aCallerThatReadsOnlyAfterItHasSentATooLongBodyGetsTheRefusal(String framing) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write(head(framing));
            byte[] part = "x".repeat(LARGE_PART_BYTES).getBytes(StandardCharsets.US_ASCII);
            boolean chunked = framing.contains("chunked");
            for (int number = 0; number < LARGE_PARTS; number++) {
                out.write(chunked ? chunkHead(part.length) : new byte[0]);
                out.write(part);
                out.write(chunked ? "\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            }
            out.write(chunked ? "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            assertThat(line(socket)).startsWith("HTTP/1.1 413");
        }
        assertThat(handler.awaitAnswers(Duration.ofSeconds(10))).isTrue();
        assertThat(events).isEmpty();
    }

    /** Guards against a refusal of which a slow caller reads a part before its connection is reset. */
    @Test
    void aCallerThatKeepsSendingAndReadsSlowlyGetsTheWholeRefusal() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(head("Content-Length: 1000"));
            StringBuilder answer =
                    new StringBuilder().append((char) socket.getInputStream().read());
            long readsAgainAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLOW_READER_PAUSE_MILLIS);
            while (System.nanoTime() < readsAgainAt) {
                socket.getOutputStream().write('.');
                TimeUnit.MILLISECONDS.sleep(10);
            }
            while (answer.indexOf("}") < 0) {
                socket.getOutputStream().write('.');
                int next = socket.getInputStream().read();
                assertThat(next).as("after " + answer).isNotNegative();
                answer.append((char) next);
            }
            assertThat(answer.toString()).startsWith("HTTP/1.1 408").contains("not-run");
        }
    }

    private static byte[] head(String framing) {
        return ("POST /v1/templates/t/requests HTTP/1.1\r\nHost: x\r\nWagtaillug-Customer: c\r\n" + framing
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] chunkHead(int length) {
        return (Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static String line(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next != '\n' && next >= 0;
                next = socket.getInputStream().read()) {
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Test
    void aRequestAfterTheDrainIsRefusedAsNotRun() throws Exception {
        // Guards against losing a request that arrives on an open connection between the last decision and the closing
        // of the ports.
        handler.refuseAll();
        Answer answer = send(request("{\"input\": 1}").header("Wagtaillug-Customer", "c"));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.body().path("result_code").asInt()).isEqualTo(ResultCode.SHUTTING_DOWN.number());
        assertThat(answer.body().path("run").asText()).isEqualTo("not-run");
        assertThat(events).isEmpty();
    }

    @Test
    void anAnswerOfADrainingNodeClosesItsConnection() throws Exception {
        // Guards against a caller that keeps its connection, because nothing announces the shutdown, and sends its next
        // request at the moment when the ports close.
        handler.drain();
        HttpResponse<String> answer = client.send(request("1").build(), HttpResponse.BodyHandlers.ofString());
        assertThat(answer.headers().firstValue("Connection")).contains("close");
    }

    /**
     * A request is in flight when its node starts to drain. Guards against an answer without a "Connection: close"
     * header, after which the caller would send its next request to a node that refuses it or closes its ports. The
     * failure came from choosing the header when the request arrives.
     */
    @Test
    void anAnswerDuringTheDrainClosesTheConnectionOfAnEarlierRequest() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                request("{\"input\": 1}").header("Wagtaillug-Customer", "c").build(),
                HttpResponse.BodyHandlers.ofString());
        Event.RequestArrived arrived = (Event.RequestArrived) events.poll(10, TimeUnit.SECONDS);
        handler.drain();
        exchanges.remove(arrived.request().id()).orElseThrow().served(1, Payload.of("1"));
        assertThat(answer.get(10, TimeUnit.SECONDS).headers().firstValue("Connection"))
                .contains("close");
    }

    private record Answer(int status, JsonNode body) {}

    private HttpRequest.Builder request(String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/templates/t/requests"))
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private Answer send(HttpRequest.Builder request) throws Exception {
        HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return new Answer(response.statusCode(), Json.read(response.body()).get());
    }
}
