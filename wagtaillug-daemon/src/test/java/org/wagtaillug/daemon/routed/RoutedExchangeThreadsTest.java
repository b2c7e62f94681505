package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.result.Refusal;
import org.wagtaillug.result.ResultCode;
import org.wagtaillug.serving.RoutedRequest;

/** One exchange used by two threads: the one that reads the answer of the upstream and the one that makes decisions. */
class RoutedExchangeThreadsTest {
    private static final int ROUNDS = 50_000;
    private static final Refusal REFUSAL = Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, Duration.ZERO, "the node ends");

    /** Records what the caller receives. */
    private static final class Caller {
        private final StringBuilder body = new StringBuilder();
        private final AtomicBoolean ended = new AtomicBoolean();
        private final HttpFields.Mutable head = HttpFields.build();
        private volatile int status;

        private Object response(String method, Object[] arguments) {
            switch (method) {
                case "reset" -> head.clear();
                case "setStatus" -> status = (int) arguments[0];
                case "getHeaders" -> {
                    return head;
                }
                case "write" -> {
                    body.append(StandardCharsets.UTF_8.decode((ByteBuffer) arguments[1]));
                    ended.compareAndSet(false, (boolean) arguments[0]);
                    ((Callback) arguments[2]).succeeded();
                }
                default -> throw new UnsupportedOperationException(method);
            }
            return null;
        }
    }

    private static <T> T stub(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    private static RoutedExchange exchange(Caller caller) {
        ConnectionMetaData connection =
                stub(ConnectionMetaData.class, (proxy, method, arguments) -> HttpVersion.HTTP_1_1);
        Request request = stub(Request.class, (proxy, method, arguments) -> connection);
        Response response =
                stub(Response.class, (proxy, method, arguments) -> caller.response(method.getName(), arguments));
        RoutedRequest routed = new RoutedRequest(
                new RequestId("r"),
                "a.example",
                "/ask/1",
                Optional.empty(),
                Duration.ofSeconds(1),
                List.of(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty());
        return new RoutedExchange(
                routed,
                request,
                response,
                Callback.NOOP,
                new byte[0],
                new CallerConnections(),
                refusal -> HttpFields.EMPTY,
                ReaderLimits.none());
    }

    /**
     * A node reaches the end of its shutdown grace and refuses a stream that has not started, while the header and the
     * first event arrive from the engine. Guards against writing the refusal into the body of the answer and ending it
     * in order: the caller would take a status of 200 and a body of one event and the refusal text for a complete
     * answer.
     */
    @Test
    void aRefusalDuringTheHeaderOfAnAnswerDoesNotMakeItLookComplete() throws Exception {
        try (ExecutorService upstream = Executors.newSingleThreadExecutor()) {
            for (int round = 0; round < ROUNDS; round++) {
                Caller caller = new Caller();
                RoutedExchange exchange = exchange(caller);
                CyclicBarrier barrier = new CyclicBarrier(2);
                Future<?> answer = upstream.submit(() -> {
                    barrier.await();
                    exchange.startAnswer(200, HttpFields.EMPTY);
                    exchange.write("data: first\n\n".getBytes(StandardCharsets.UTF_8));
                    return null;
                });
                barrier.await();
                exchange.refuse(REFUSAL);
                answer.get();
                boolean looksComplete = caller.status == 200 && caller.ended.get();
                assertThat(looksComplete)
                        .as("round %d: an answer with status 200 that ended in order: %s", round, caller.body)
                        .isFalse();
            }
        }
    }

    /**
     * A complete answer is waiting to be written to a slow caller when the node refuses all open requests, before it
     * has processed the end of the attempt. Guards against cutting the connection although the complete answer is
     * available.
     */
    @Test
    void aCompleteAnswerThatIsBeingWrittenIsNotCutByARefusal() {
        AtomicBoolean failed = new AtomicBoolean();
        ConnectionMetaData connection =
                stub(ConnectionMetaData.class, (proxy, method, arguments) -> HttpVersion.HTTP_1_1);
        Request request = stub(Request.class, (proxy, method, arguments) -> connection);
        HttpFields.Mutable head = HttpFields.build();
        // The caller does not read: no write completes.
        Response response = stub(
                Response.class, (proxy, method, arguments) -> method.getName().equals("getHeaders") ? head : null);
        Callback callback = Callback.from(() -> {}, failure -> failed.set(true));
        RoutedExchange exchange = new RoutedExchange(
                exchange(new Caller()).routed(),
                request,
                response,
                callback,
                new byte[0],
                new CallerConnections(),
                refusal -> HttpFields.EMPTY,
                ReaderLimits.none());
        exchange.forward(new RoutedExchange.CompleteAnswer(200, HttpFields.EMPTY, new byte[1000]));
        exchange.refuse(REFUSAL);
        assertThat(failed).as("the connection is cut").isFalse();
    }
}
