package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtaillug.daemon.translation.UpstreamTranslation;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.notice.UpstreamNotice;
import org.wagtaillug.serving.SendOrder;
import org.wagtaillug.serving.ServingEvent;

class UpstreamProberTest {
    private static final String HOST = "127.0.0.1";
    private static final int TIMEOUT_MILLIS = 5000;
    private static final int BUFFER_BYTES = 4096;

    private final BlockingQueue<ServingEvent> events = new LinkedBlockingQueue<>();
    private final HttpClient client = new HttpClient();
    private ServerSocket upstream;

    private static final class ProbeHeaders implements UpstreamTranslation {
        @Override
        public void write(HttpFields caller, SendOrder order, Duration left, HttpFields.Mutable out) {}

        @Override
        public void writeProbe(HttpFields.Mutable out) {
            out.put("Probe", "1");
        }

        @Override
        public boolean notRun(int status, HttpFields head) {
            return true;
        }

        @Override
        public Optional<String> answeredRequest(HttpFields head) {
            return Optional.empty();
        }

        @Override
        public boolean authentic(HttpFields head) {
            return false;
        }

        @Override
        public Optional<UpstreamNotice> notice(int status, HttpFields head) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void start() throws Exception {
        client.setConnectTimeout(400);
        client.start();
        upstream = new ServerSocket(0, 5, InetAddress.getByName(HOST));
        upstream.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        upstream.close();
    }

    private void probe() {
        Listing listing = new Listing(
                new VmId("i-1"),
                7,
                new PoolId("p"),
                HOST,
                upstream.getLocalPort(),
                new DomainId("north"),
                false,
                Duration.ZERO,
                "");
        new UpstreamProber(client, new ProbeHeaders(), events::add).probe(listing);
    }

    private Optional<String> failure() throws InterruptedException {
        ServingEvent event = events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(event).isInstanceOf(ServingEvent.ConnectEnded.class);
        return ((ServingEvent.ConnectEnded) event).failure();
    }

    private static String readHead(Socket accepted) throws IOException {
        byte[] head = new byte[BUFFER_BYTES];
        int length = accepted.getInputStream().read(head);
        return new String(head, 0, length, StandardCharsets.US_ASCII);
    }

    @Test
    void anUpstreamThatAnswersIsReachable() throws Exception {
        probe();
        try (Socket accepted = upstream.accept()) {
            assertThat(readHead(accepted)).startsWith("GET / HTTP/1.1\r\n").contains("Probe: 1");
            accepted.getOutputStream()
                    .write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        assertThat(failure()).isEmpty();
    }

    /** Guards against a partition in which connections open and are reset before any answer. */
    @Test
    void anUpstreamWhoseConnectionIsResetIsNotReachable() throws Exception {
        probe();
        try (Socket accepted = upstream.accept()) {
            accepted.setSoLinger(true, 0);
        }
        assertThat(failure()).isPresent();
    }

    /** Guards against an upstream that pauses for a second and counts as unreachable. */
    @Test
    void anUpstreamThatIsSilentIsReachable() throws Exception {
        probe();
        try (Socket accepted = upstream.accept()) {
            readHead(accepted);
            assertThat(failure()).isEmpty();
        }
    }

    @Test
    void anUpstreamThatRefusesConnectionsIsNotReachable() throws Exception {
        upstream.close();
        probe();
        assertThat(failure()).isPresent();
    }
}
