package org.wagtaillug.daemon.administration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtaillug.daemon.DecisionLog;
import org.wagtaillug.daemon.control.ControlThread;
import org.wagtaillug.daemon.metrics.NodeMetrics;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.node.Effect;
import org.wagtaillug.node.Event;
import org.wagtaillug.node.Node;
import org.wagtaillug.settings.NodeSettings;

class AdministrationHandlerTest {
    /** More than fits into the buffers of a connection. */
    private static final int LARGE_BODY_BYTES = 16_000_000;

    private final Server server = new Server();
    private int port;

    @BeforeEach
    void listen() throws Exception {
        ControlThread<Node, Event, Effect> control =
                new ControlThread<>(null, Node::handle, new Event.Tick(), Instant::now);
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        NodeSettings.Listener listener = new NodeSettings.Listener("127.0.0.1", 0, Optional.empty());
        server.setHandler(new AdministrationHandler(
                control,
                new PendingChanges(),
                new DecisionLog(),
                new NodeMetrics(),
                () -> true,
                () -> 0,
                new NodeSettings.Administration(
                        listener,
                        List.of(new NodeSettings.AccessToken(
                                "secret", NodeSettings.Role.READER, new OperatorId("tests"))))));
        server.start();
        port = connector.getLocalPort();
    }

    @AfterEach
    void close() throws Exception {
        server.stop();
    }

    /** Guards against a connection that is reset while an operator still sends a change, which loses the refusal. */
    @ParameterizedTest
    @CsvSource({"wrong, /admin/changes, 403", "secret, /admin/changes, 403", "secret, /admin/change, 404"})
    void anOperatorWhoReadsOnlyAfterSendingALargeChangeGetsTheRefusal(String token, String path, int status)
            throws Exception {
        try (Socket operator = new Socket("127.0.0.1", port)) {
            operator.setSoTimeout(20_000);
            OutputStream out = operator.getOutputStream();
            out.write(("POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token
                            + "\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[LARGE_BODY_BYTES]);
            String expected = "HTTP/1.1 " + status;
            byte[] answer = operator.getInputStream().readNBytes(expected.length());
            assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo(expected);
        }
    }
}
