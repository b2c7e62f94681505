package org.wagtaillug.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.daemon.process.JavaProcess.Signal;

/** Nodes that are killed a fixed time after SIGTERM. Each test stops a different node of one fleet. */
class NodeGraceTest {
    private static final String GRACE = "shutdown_grace: 5s\n";

    /**
     * Makes an answer larger than the buffers of a connection. The node writes a number with more characters than it
     * reads, so the answer of the upstream is within the limit of the node.
     */
    private static final int LARGE_COUNT = 600_000;

    private static final int LARGE_BYTES = LARGE_COUNT * "1000000.0,".length();

    private static final String LARGE_INPUT = "a large one";

    private static final int READER_BUFFER_BYTES = 65_536;

    /** Longer than it takes until the node is idle and the load balancer has removed it, shorter than the grace. */
    private static final long READER_PAUSE_MILLIS = 3_000;

    private static final int READER_TIMEOUT_MILLIS = 30_000;

    private static final long STARTED_AT_MILLIS = System.currentTimeMillis();

    @TempDir
    private static Path directory;

    private static Fleet fleet;
    private static HttpServer pictures;

    @BeforeAll
    static void start() throws Exception {
        fleet = Fleet.start(directory, GRACE);
        pictures = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        pictures.createContext("/load", exchange -> send(exchange, Json.write(load())));
        pictures.createContext("/", NodeGraceTest::picture);
        pictures.start();
        fleet.standIns()
                .list("pictures-1", "pictures", "zone-a", pictures.getAddress().getPort(), "live");
        fleet.publish("""
                kind: template
                id: picture
                deadline: 60s
                stages:
                  - { id: picture, work: call, pool: pictures, timeout: 60s }
                """);
    }

    @AfterAll
    static void end() {
        if (fleet != null) {
            fleet.close();
        }
        if (pictures != null) {
            pictures.stop(0);
        }
    }

    private static JsonNode load() {
        return Json.object()
                .put("started_at", STARTED_AT_MILLIS)
                .put("reported_at", System.currentTimeMillis())
                .put("running", 0)
                .put("waiting", 0)
                .put("slots", 8);
    }

    private static void picture(HttpExchange exchange) throws IOException {
        JsonNode asked = Json.read(exchange.getRequestBody().readAllBytes()).get();
        boolean large = asked.toString().contains(LARGE_INPUT);
        String numbers = "1e6,".repeat(large ? LARGE_COUNT : 1) + "1e6";
        String answer = "{\"request\": %s, \"attempt\": %s, \"output\": [%s]}"
                .formatted(asked.path("request"), asked.path("attempt"), numbers);
        send(exchange, answer.getBytes(StandardCharsets.US_ASCII));
    }

    private static void send(HttpExchange exchange, byte[] answer) throws IOException {
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    /**
     * A supervisor kills a node 5 s after SIGTERM. A booking and a draft are at upstreams that take longer, and a third
     * request arrives just after the signal. Guards against ending the process without an answer to all three callers.
     * The failure came from starting the third request although the remaining time did not suffice, and from a drain
     * that ended without answering open requests.
     */
    @Test
    void everyCallerHasAnAnswerAtTheEndOfTheGrace() throws Exception {
        NodeProcess ending = fleet.node(1);
        for (String slow : StandIns.pool(StandIns.SERVICES)) {
            fleet.standIns().fault(slow, "{\"fault\": \"slow\", \"factor\": 3000}");
        }
        for (String slow : StandIns.pool("encode")) {
            fleet.standIns().fault(slow, "{\"fault\": \"slow\", \"factor\": 3000}");
        }
        CompletableFuture<Answer> booking =
                CompletableFuture.supplyAsync(() -> ending.booking(Fleet.newKey(), Fleet.DEADLINE_MILLIS));
        CompletableFuture<Answer> draft = CompletableFuture.supplyAsync(() -> ending.draft(Fleet.DEADLINE_MILLIS));
        Waiting.until(
                "the booking and the draft run", () -> ending.attempts("book") == 1 && ending.attempts("encode") > 0);
        ending.process().signal(Signal.TERM);
        Waiting.until("the node says that it is not ready", () -> !ending.ready());
        Answer late = ending.draft(Fleet.DEADLINE_MILLIS);
        fleet.standIns().clear();
        assertThat(late.resultCode()).as(late.toString()).isEqualTo(501);
        assertThat(late.run()).as(late.toString()).isEqualTo("not-run");
        assertThat(booking.get().resultCode()).as(booking.get().toString()).isEqualTo(400);
        assertThat(booking.get().run()).as(booking.get().toString()).isEqualTo("unknown");
        assertThat(draft.get().status()).as(draft.get().toString()).isEqualTo(503);
        assertThat(draft.get().resultCode()).as(draft.get().toString()).isEqualTo(501);
        assertThat(ending.process().exitCode()).as(ending.process().output()).isZero();
    }

    /**
     * A caller on a slow connection is reading a large answer when its node is asked to shut down. Guards against
     * closing the ports before the answer is completely written although most of the grace is left. The failure came
     * from counting an answer as sent when writing starts.
     */
    @Test
    void anAnswerToASlowReaderIsCompletelyWritten() throws Exception {
        NodeProcess ending = fleet.node(2);
        Waiting.until("the node has pictures served", () -> picture(ending).served());
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(READER_BUFFER_BYTES);
            caller.connect(new InetSocketAddress("127.0.0.1", ending.ports().callers()));
            caller.setSoTimeout(READER_TIMEOUT_MILLIS);
            caller.getOutputStream().write(pictureRequest());
            InputStream answer = caller.getInputStream();
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            read.write(answer.read());
            ending.process().signal(Signal.TERM);
            TimeUnit.MILLISECONDS.sleep(READER_PAUSE_MILLIS);
            answer.transferTo(read);
            assertThat(read.toString(StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 200");
            assertThat(read.size()).isGreaterThan(LARGE_BYTES);
        }
        assertThat(ending.process().exitCode()).as(ending.process().output()).isZero();
    }

    private static Answer picture(NodeProcess node) {
        return node.request("picture", Json.object(), Fleet.DEADLINE_MILLIS, Map.of());
    }

    private static byte[] pictureRequest() {
        String body = "{\"input\": \"" + LARGE_INPUT + "\"}";
        return ("POST /v1/templates/picture/requests HTTP/1.1\r\nHost: node\r\nWagtaillug-Customer: office\r\n"
                        + "Wagtaillug-Request: slow-reader\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }
}
