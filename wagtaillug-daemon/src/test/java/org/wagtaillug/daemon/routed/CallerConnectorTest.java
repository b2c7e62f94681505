package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that are closed before anything is read. */
class CallerConnectorTest {
    private static final int TIMEOUT_MILLIS = 3000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

    private final AtomicBoolean admitting = new AtomicBoolean(true);
    private final AtomicInteger handled = new AtomicInteger();
    private final Server server = new Server();
    private final CallerConnector connector =
            new CallerConnector(server, 1, new HttpConnectionFactory(), admitting::get);

    @BeforeEach
    void start() throws Exception {
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                handled.incrementAndGet();
                response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
                response.write(true, null, callback);
                return true;
            }
        });
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends a request; returns the first line of the answer, or an empty text if the connection was closed without one. */
    private static String send(Socket socket) throws IOException {
        try {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            StringBuilder answer = new StringBuilder();
            while (!answer.toString().endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                answer.append((char) next);
            }
            return answer.substring(0, answer.indexOf("\r\n"));
        } catch (SocketException reset) {
            return "";
        }
    }

    /** Guards against requests that are read and not answered, and against open connections that suffer with new ones. */
    @Test
    void newConnectionsAreClosedUnreadWhileOpenOnesAreServed() throws Exception {
        try (Socket open = connect()) {
            assertThat(send(open)).isEqualTo("HTTP/1.1 200 OK");
            admitting.set(false);
            for (int number = 0; number < 20; number++) {
                try (Socket refused = connect()) {
                    assertThat(send(refused)).isEmpty();
                }
                assertThat(send(open)).isEqualTo("HTTP/1.1 200 OK");
            }
            assertThat(handled).hasValue(21);
            admitting.set(true);
            try (Socket accepted = connect()) {
                assertThat(send(accepted)).isEqualTo("HTTP/1.1 200 OK");
            }
        }
    }

    /** Guards against closed connections that keep their descriptors. */
    @Test
    void closedConnectionsAreNotOpenEndPoints() throws Exception {
        admitting.set(false);
        for (int number = 0; number < 50; number++) {
            try (Socket refused = connect()) {
                assertThat(send(refused)).isEmpty();
            }
        }
        assertThat(connector.openConnections()).isZero();
        admitting.set(true);
        try (Socket accepted = connect()) {
            send(accepted);
            assertThat(connector.openConnections()).isOne();
        }
    }
}
