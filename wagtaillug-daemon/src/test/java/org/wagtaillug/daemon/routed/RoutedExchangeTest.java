package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.serving.RoutedRequest;

class RoutedExchangeTest {
    /** Exceeds the buffers of a connection, so that the answer is still being written when it is cut. */
    private static final int LARGE_BYTES = 20_000_000;

    private static RoutedRequest request() {
        return new RoutedRequest(
                new RequestId("large"),
                "a.example",
                "/",
                Optional.empty(),
                Duration.ofSeconds(5),
                List.of(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty());
    }

    /**
     * A complete answer is being written to a slow caller when the request is cut, because the decision was made before
     * the end of the answer was reported. Guards against truncating the answer although the request was executed.
     */
    @Test
    void aCompleteAnswerIsNotCut() throws Exception {
        CountDownLatch cut = new CountDownLatch(1);
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server);
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                RoutedExchange exchange = new RoutedExchange(
                        request(),
                        request,
                        response,
                        callback,
                        new byte[0],
                        new CallerConnections(),
                        refusal -> HttpFields.EMPTY,
                        ReaderLimits.none());
                exchange.forward(new RoutedExchange.CompleteAnswer(200, HttpFields.EMPTY, new byte[LARGE_BYTES]));
                exchange.cut();
                cut.countDown();
                return true;
            }
        });
        server.start();
        try (Socket caller = new Socket("127.0.0.1", connector.getLocalPort())) {
            caller.setSoTimeout(10_000);
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            assertThat(cut.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(countBytes(caller.getInputStream())).isGreaterThanOrEqualTo(LARGE_BYTES);
        } finally {
            server.stop();
        }
    }

    private static long countBytes(InputStream answer) throws Exception {
        byte[] buffer = new byte[65_536];
        long total = 0;
        int read = answer.read(buffer);
        while (read >= 0) {
            total += read;
            read = answer.read(buffer);
        }
        return total;
    }
}
