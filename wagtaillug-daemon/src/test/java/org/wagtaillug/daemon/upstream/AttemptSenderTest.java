package org.wagtaillug.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.clock.LeaseClock;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.StageWork;
import org.wagtaillug.daemon.callers.Exchanges;
import org.wagtaillug.daemon.callers.OpenExchange;
import org.wagtaillug.dispatch.Attempt;
import org.wagtaillug.dispatch.AttemptEnd;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.IdempotencyKey;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Event;
import org.wagtaillug.result.Payload;

class AttemptSenderTest {
    /**
     * Time within which an attempt may start, in tests that are not about this limit: class loading takes seconds on a
     * busy machine.
     */
    private static final long AMPLE_MILLIS = 10_000;

    private static final Stage ENCODE = Stage.builder("encode").build();
    private static final Stage GENERATE =
            Stage.builder("generate").work(StageWork.GENERATE).model("m").build();
    private static final Stage BOOK =
            Stage.builder("book").work(StageWork.CALL).pool("bookings").build();

    private final LeaseClock clock = new LeaseClock();
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Exchanges exchanges = new Exchanges();
    private final HttpClient pooledClient = new HttpClient();
    private final List<Runnable> queuedTasks = new ArrayList<>();
    private final HttpClient singleUseClient = new HttpClient();
    private final Set<InetSocketAddress> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger calls = new AtomicInteger();
    private HttpServer upstream;
    private AttemptSender sender;
    private String answer = "";
    private int status = 200;

    @BeforeEach
    void start() throws Exception {
        pooledClient.start();
        singleUseClient.start();
        upstream = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        upstream.createContext("/", this::answer);
        upstream.start();
        sender = new AttemptSender(pooledClient, singleUseClient, exchanges, events::add, clock, queuedTasks::add);
        OpenExchange.add(exchanges, new RequestId("r"));
    }

    @AfterEach
    void stop() throws Exception {
        upstream.stop(0);
        pooledClient.stop();
        singleUseClient.stop();
    }

    private void answer(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        connections.add(exchange.getRemoteAddress());
        exchange.getRequestBody().readAllBytes();
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Test
    void anAnswerWithTheIdsOfTheAttemptCompletesIt() throws Exception {
        answer = "{\"request\": \"r\", \"attempt\": \"r/encode/1\", \"output\": [1, 2]}";
        assertThat(end(attempt(ENCODE, 1, AMPLE_MILLIS))).isEqualTo(new AttemptEnd.Completed(Payload.of("[1,2]")));
    }

    @Test
    void theAnswerToAnotherRequestIsRejected() throws Exception {
        // An upstream confuses two connections and answers with the result of another guest. Guards against passing
        // another request's answer to the caller.
        answer = "{\"request\": \"other\", \"attempt\": \"other/encode/1\", \"output\": [1, 2]}";
        assertThat(end(attempt(ENCODE, 1, AMPLE_MILLIS)))
                .isEqualTo(new AttemptEnd.Failed(true, "received the answer of attempt other/encode/1"));
    }

    @Test
    void aTruncatedAnswerIsRejected() throws Exception {
        answer = "{\"request\": \"r\", \"attempt\": \"r/encode/1\", \"outp";
        assertThat(end(attempt(ENCODE, 1, AMPLE_MILLIS))).isInstanceOf(AttemptEnd.Failed.class);
    }

    @Test
    void aStreamWithoutItsLastTokenIsIncomplete() throws Exception {
        answer = event(0, "Five ", "null") + event(1, "lunches", "null") + "data: [DONE]\n\n";
        assertThat(end(attempt(GENERATE, 1, AMPLE_MILLIS)))
                .isEqualTo(new AttemptEnd.Failed(true, "the stream ended early at token 2"));
        answer = event(1, "lunches", "null").replace("/1\"", "/2\"")
                + event(2, ".", "\"stop\"").replace("/1\"", "/2\"");
        assertThat(end(attempt(GENERATE, 2, AMPLE_MILLIS)))
                .isEqualTo(new AttemptEnd.Completed(Payload.of("{\"text\":\"Five lunches.\",\"tokens\":3}")));
    }

    @Test
    void aTokenOfAnotherAttemptEndsTheStream() throws Exception {
        answer = event(0, "Five ", "null").replace("r/generate/1", "q/generate/1");
        assertThat(end(attempt(GENERATE, 1, AMPLE_MILLIS))).isInstanceOf(AttemptEnd.Failed.class);
    }

    @Test
    void anOverloadedUpstreamAndARejectedRequestAreDistinguished() throws Exception {
        status = 429;
        assertThat(end(attempt(ENCODE, 1, AMPLE_MILLIS))).isEqualTo(new AttemptEnd.Overloaded());
        status = 400;
        assertThat(end(attempt(ENCODE, 2, AMPLE_MILLIS))).isInstanceOf(AttemptEnd.Rejected.class);
        status = 503;
        assertThat(end(attempt(ENCODE, 3, AMPLE_MILLIS))).isInstanceOf(AttemptEnd.Failed.class);
    }

    @Test
    void aBookingWithoutAConnectionIsKnownToBeUnsent() throws Exception {
        int closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = socket.getLocalPort();
        }
        AttemptEnd end = end(attempt(BOOK, 1, AMPLE_MILLIS, closed));
        assertThat(end).isInstanceOf(AttemptEnd.Failed.class);
        assertThat(((AttemptEnd.Failed) end).byteLeft()).isFalse();
    }

    @Test
    void aBookingWhoseAnswerIsLostIsSentOnlyOnce() throws Exception {
        // The ledger books and closes the connection without an answer. Guards against a client that repeats the call
        // by itself, as many do on reused connections: it would book twice.
        upstream.removeContext("/");
        upstream.createContext("/", exchange -> {
            calls.incrementAndGet();
            exchange.getRequestBody().readAllBytes();
            exchange.close();
        });
        AttemptEnd end = end(attempt(BOOK, 1, AMPLE_MILLIS));
        assertThat(((AttemptEnd.Failed) end).byteLeft()).isTrue();
        assertThat(calls).hasValue(1);
    }

    @Test
    void anAttemptWhoseAllowanceHasExpiredIsNotSent() throws Exception {
        // The process is paused between the decision and the sending. After waking, its allowance may belong to another
        // node; sending would overload a cold server.
        assertThat(end(attempt(ENCODE, 1, -1))).isEqualTo(new AttemptEnd.NotStarted());
        assertThat(calls).hasValue(0);
    }

    @Test
    void aRetryDoesNotUseAnOpenConnection() throws Exception {
        // A network device has lost the state of all connections. Guards against retries on open connections: each
        // would hang like the first attempt, until the request has no attempt left.
        end(attempt(ENCODE, 1, AMPLE_MILLIS));
        end(onNewConnection(attempt(ENCODE, 2, AMPLE_MILLIS)));
        end(attempt(ENCODE, 3, AMPLE_MILLIS));
        assertThat(connections)
                .as("of the first and third attempt, and of the retry")
                .hasSize(2);
    }

    @Test
    void openConnectionsAreNotUsedAfterAnAttemptWithoutResponse() throws Exception {
        // Two connections are open and both stop responding. The first attempt on one of them is cancelled. Guards
        // against using the other one for the next request, which would be late as well.
        ExecutorService threads = Executors.newCachedThreadPool();
        CountDownLatch bothArrived = new CountDownLatch(2);
        CountDownLatch ended = new CountDownLatch(1);
        upstream.stop(0);
        upstream = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        upstream.setExecutor(threads);
        upstream.createContext("/", exchange -> {
            bothArrived.countDown();
            await(bothArrived);
            boolean silent =
                    exchange.getRequestHeaders().getFirst("Wagtaillug-Attempt").endsWith("/3");
            await(silent ? ended : bothArrived);
            answer(exchange);
        });
        upstream.start();
        try {
            send(attempt(ENCODE, 1, AMPLE_MILLIS));
            end(attempt(ENCODE, 2, AMPLE_MILLIS));
            awaitEnd();
            Attempt silent = attempt(ENCODE, 3, AMPLE_MILLIS);
            send(silent);
            sender.cancel(silent.id());
            awaitEnd();
            Set<InetSocketAddress> before = Set.copyOf(connections);
            connections.clear();
            end(attempt(ENCODE, 4, AMPLE_MILLIS));
            assertThat(connections).doesNotContainAnyElementsOf(before);
        } finally {
            ended.countDown();
            threads.shutdownNow();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static Attempt onNewConnection(Attempt attempt) {
        return new Attempt(
                attempt.id(),
                attempt.stage(),
                attempt.upstream(),
                attempt.input(),
                attempt.sendDeadline(),
                attempt.deadline(),
                attempt.priority(),
                attempt.key(),
                true);
    }

    private static String event(int offset, String text, String reason) {
        return "data: {\"id\": \"r/generate/1\", \"request\": \"r\", \"token_offset\": " + offset
                + ", \"choices\": [{\"text\": \"" + text + "\", \"finish_reason\": " + reason + "}]}\n\n";
    }

    private Attempt attempt(Stage stage, int number, long startWithinMillis) {
        return attempt(stage, number, startWithinMillis, upstream.getAddress().getPort());
    }

    private Attempt attempt(Stage stage, int number, long startWithinMillis, int port) {
        Vm vm = new Vm(
                new VmId("u"),
                Optional.of(new PoolId("p")),
                new DomainId("d"),
                new RegionId("g"),
                "127.0.0.1",
                port,
                false);
        Optional<IdempotencyKey> key = stage.work() == StageWork.CALL
                ? Optional.of(new IdempotencyKey(new CustomerId("c"), "k", clock.now()))
                : Optional.empty();
        return new Attempt(
                new AttemptId(new RequestId("r"), stage.id(), number),
                stage,
                vm,
                Payload.of("1"),
                clock.now().plusMillis(startWithinMillis),
                clock.now().plusSeconds(5),
                5,
                key,
                key.isPresent());
    }

    @Test
    void anAttemptThatIsCancelledBeforeItIsSentIsNotSent() throws Exception {
        // The decision to cancel an attempt overtakes its sending, which waits for a free thread. Guards against
        // sending the attempt nevertheless and occupying a slot at the upstream that no node accounts for.
        Attempt attempt = attempt(ENCODE, 1, AMPLE_MILLIS);
        sender.start(attempt);
        sender.cancel(attempt.id());
        queuedTasks.remove(0).run();
        assertThat(events.poll(10, TimeUnit.SECONDS))
                .isEqualTo(new Event.AttemptEnded(attempt.id(), new AttemptEnd.NotStarted()));
        assertThat(calls).hasValue(0);
    }

    private void send(Attempt attempt) {
        sender.start(attempt);
        queuedTasks.remove(0).run();
    }

    private AttemptEnd end(Attempt attempt) throws InterruptedException {
        send(attempt);
        return awaitEnd();
    }

    private AttemptEnd awaitEnd() throws InterruptedException {
        while (true) {
            Event event = events.poll(10, TimeUnit.SECONDS);
            assertThat(event).as("an end within 10 s").isNotNull();
            if (event instanceof Event.AttemptEnded ended) {
                return ended.end();
            }
        }
    }
}
