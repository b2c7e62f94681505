package org.wagtaillug.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Try;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wagtaillug.contract.Body;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.message.PeerMessage;

@Timeout(60)
class PeerLinkTest {
    private static final NodeId LEFT = new NodeId(new VmId("entry-1"), 1);
    private static final NodeId RIGHT = new NodeId(new VmId("entry-2"), 1);
    private static final int MAX_WAIT_MILLIS = 30_000;
    private static final String HOST = "127.0.0.1";

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() throws Exception {
        while (!resources.isEmpty()) {
            resources.pop().close();
        }
    }

    @Test
    void carriesMessagesBothWays() throws Exception {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        left.peers(List.of(member(RIGHT, right.port())));
        right.seeds(Map.of(LEFT.vm(), address(left.port())));

        sendWhenConnected(left, RIGHT.vm(), probe(1));
        assertThat(nextReceived()).isEqualTo("entry-2#1 got 1 of entry-1#1");
        sendWhenConnected(right, LEFT.vm(), probe(2));
        assertThat(nextReceived()).isEqualTo("entry-1#1 got 2 of entry-2#1");
        assertThat(left.counters().messagesOut()).isEqualTo(1);
        assertThat(left.counters().messagesIn()).isEqualTo(1);
        assertThat(left.counters().bytesOut()).isPositive();
        assertThat(right.counters().connections()).isEqualTo(1);
    }

    /** A node that many others connect to must not need a connection of its own to each of them. */
    @Test
    void repliesOverTheConnectionThatThePeerOpened() throws Exception {
        BlockingQueue<String> states = new LinkedBlockingQueue<>();
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0).observer(new LinkObserver() {
            @Override
            public void connected(VmId peer) {
                states.add("connected " + peer);
            }

            @Override
            public void disconnected(VmId peer) {
                states.add("disconnected " + peer);
            }
        }));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        left.peers(List.of(member(RIGHT, right.port())));
        sendWhenConnected(left, RIGHT.vm(), probe(1));
        assertThat(nextReceived()).isEqualTo("entry-2#1 got 1 of entry-1#1");
        sendWhenConnected(right, LEFT.vm(), probe(2));
        assertThat(nextReceived()).isEqualTo("entry-1#1 got 2 of entry-2#1");
        assertThat(right.counters().connections()).isZero();
        right.close();
        assertThat(states.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("connected entry-2");
        assertThat(states.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("disconnected entry-2");
    }

    @Test
    void dropsAndCountsMessagesToUnknownPeers() {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));

        assertThat(left.send(RIGHT.vm(), probe(1))).isFalse();
        assertThat(left.counters().dropped()).isEqualTo(1);
    }

    @Test
    void closesTheConnectionToANodeThatIsNoLongerListed() {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        left.peers(List.of(member(RIGHT, right.port())));
        sendWhenConnected(left, RIGHT.vm(), probe(1));

        left.peers(List.of());

        assertThat(left.send(RIGHT.vm(), probe(2))).isFalse();
        assertThat(left.counters().connections()).isZero();
    }

    /**
     * Guards against a node acting on grants that are meant for another VM: the platform gives the address of a
     * replaced VM to a new one, and a peer with an outdated roster still sends to it.
     */
    @Test
    void dropsMessagesForAnotherVm() throws Exception {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        VmId replaced = new VmId("entry-0");
        left.seeds(Map.of(replaced, address(right.port()), RIGHT.vm(), address(right.port())));

        sendWhenConnected(left, replaced, probe(1));
        await(() -> right.counters().misdirected() == 1);
        sendWhenConnected(left, RIGHT.vm(), probe(2));

        assertThat(nextReceived()).isEqualTo("entry-2#1 got 2 of entry-1#1");
    }

    /**
     * Guards against invalid bytes, for example from a port scanner, disturbing the messages between nodes. They must
     * close only the connection that they came over.
     */
    @Test
    void aMalformedFrameClosesItsOwnConnectionOnly() throws Exception {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        left.peers(List.of(member(RIGHT, right.port())));
        sendWhenConnected(left, RIGHT.vm(), probe(1));
        nextReceived();

        assertThat(sendFrame(right.port(), Integer.MAX_VALUE, new byte[0])).isEqualTo(-1);
        assertThat(sendFrame(right.port(), 3, new byte[] {1, 2, 3})).isEqualTo(-1);

        assertThat(left.send(RIGHT.vm(), probe(2))).isTrue();
        assertThat(nextReceived()).isEqualTo("entry-2#1 got 2 of entry-1#1");
        assertThat(right.counters().malformed()).isEqualTo(2);
    }

    /** When a node's VM is replaced at the same address, its peers must reconnect without a new roster. */
    @Test
    void reconnectsAfterAPeerRestart() throws Exception {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = openWithoutCleanup(PeerLink.builder(RIGHT).bind(HOST, 0));
        int port = right.port();
        left.peers(List.of(member(RIGHT, port)));
        sendWhenConnected(left, RIGHT.vm(), probe(1));
        nextReceived();

        right.close();
        await(() -> left.counters().connections() == 0);
        open(PeerLink.builder(new NodeId(RIGHT.vm(), 2)).bind(HOST, port));
        sendWhenConnected(left, RIGHT.vm(), probe(2));

        assertThat(nextReceived()).isEqualTo("entry-2#2 got 2 of entry-1#1");
    }

    /**
     * Guards against two healthy nodes that cannot communicate because a device between them has lost the state of
     * their connection: it accepts bytes and reports no error, while new connections work. A socket that is accepted
     * and never answered simulates it.
     */
    @Test
    void replacesAConnectionWithoutAcknowledgements() throws Exception {
        ServerSocket listener = listen();
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0).acknowledgementTimeout(Duration.ofMillis(200)));
        left.seeds(Map.of(RIGHT.vm(), address(listener.getLocalPort())));
        Socket first = listener.accept();
        resources.push(first);

        sendWhenConnected(left, RIGHT.vm(), probe(1));

        resources.push(listener.accept());
        assertThat(left.counters().timedOut()).isEqualTo(1);
    }

    /**
     * An idle connection whose messages were acknowledged must not time out, or a fleet with little traffic would
     * reconnect all the time.
     */
    @Test
    void keepsAnIdleConnectionAfterAnAcknowledgement() throws Exception {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0).acknowledgementTimeout(Duration.ofMillis(400)));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0).acknowledgementTimeout(Duration.ofMillis(400)));
        left.peers(List.of(member(RIGHT, right.port())));
        sendWhenConnected(left, RIGHT.vm(), probe(1));
        await(() -> left.counters().bytesIn() > 0);

        assertThat(left.counters().timedOut()).isZero();
    }

    @Test
    void dropsAMessageLargerThanTheMaximum() {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0));
        left.peers(List.of(member(RIGHT, right.port())));
        sendWhenConnected(left, RIGHT.vm(), probe(1));
        LogRecord.StateEntry large =
                new LogRecord.StateEntry("k", 1, new Body.Unknown("text", "x".repeat(Frames.MAX_MESSAGE_BYTES)));

        assertThat(left.send(RIGHT.vm(), new PeerMessage.StateReply(1, List.of(large), List.of())))
                .isFalse();
    }

    /** Messages to a peer that reads nothing must not accumulate without bound. */
    @Test
    void dropsWhenTheOutboundBufferIsFull() throws Exception {
        ServerSocket listener = listen();
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));
        left.seeds(Map.of(RIGHT.vm(), address(listener.getLocalPort())));
        LogRecord.StateEntry entry = new LogRecord.StateEntry("k", 1, new Body.Unknown("text", "x".repeat(500_000)));
        PeerMessage large = new PeerMessage.StateReply(1, List.of(entry), List.of());
        sendWhenConnected(left, RIGHT.vm(), large);
        resources.push(listener.accept());

        await(() -> !left.send(RIGHT.vm(), large));

        assertThat(left.counters().connections()).isEqualTo(1);
    }

    @Test
    void carriesMessagesUnderMutualTls() throws Exception {
        LinkTls tls = new LinkTls(resource("node-key.pem"), resource("node.pem"), resource("authority.pem"));
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0).tls(tls));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0).tls(tls));
        left.peers(List.of(member(RIGHT, right.port())));

        sendWhenConnected(left, RIGHT.vm(), probe(1));

        assertThat(nextReceived()).isEqualTo("entry-2#1 got 1 of entry-1#1");
    }

    /** With TLS enabled, a client without a trusted certificate must not be able to act as a node. */
    @Test
    void refusesAPeerWithoutACertificateOfTheAuthority() throws Exception {
        LinkTls tls = new LinkTls(resource("node-key.pem"), resource("node.pem"), resource("authority.pem"));
        LinkTls untrustedTls =
                new LinkTls(resource("stranger-key.pem"), resource("stranger.pem"), resource("authority.pem"));
        PeerLink right = open(PeerLink.builder(RIGHT).bind(HOST, 0).tls(tls));
        PeerLink plain = open(PeerLink.builder(LEFT).bind(HOST, 0));
        PeerLink untrusted = open(PeerLink.builder(LEFT).bind(HOST, 0).tls(untrustedTls));
        plain.peers(List.of(member(RIGHT, right.port())));
        untrusted.peers(List.of(member(RIGHT, right.port())));

        sendWhenConnected(plain, RIGHT.vm(), probe(1));
        sendWhenConnected(untrusted, RIGHT.vm(), probe(2));

        await(() -> right.counters().malformed() >= 2);
        assertThat(right.counters().messagesIn()).isZero();
        assertThat(received).isEmpty();
    }

    @Test
    void failsIfTheAddressIsInUse() {
        PeerLink left = open(PeerLink.builder(LEFT).bind(HOST, 0));

        Try<PeerLink> second = PeerLink.builder(RIGHT)
                .bind(HOST, left.port())
                .handler((sender, message) -> {})
                .open();

        assertThat(second.isFailure()).isTrue();
    }

    private PeerLink open(PeerLink.Builder builder) {
        PeerLink link = openWithoutCleanup(builder);
        resources.push(link);
        return link;
    }

    private ServerSocket listen() throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName(HOST));
        listener.setSoTimeout(MAX_WAIT_MILLIS);
        resources.push(listener);
        return listener;
    }

    private PeerLink openWithoutCleanup(PeerLink.Builder builder) {
        NodeId[] self = new NodeId[1];
        PeerLink link = builder.handler((sender, message) -> {
                    PeerMessage.Probe probe = (PeerMessage.Probe) message;
                    received.add(self[0] + " got " + probe.sequence() + " of " + sender);
                })
                .open()
                .get();
        self[0] = link.self();
        return link;
    }

    private String nextReceived() throws InterruptedException {
        return received.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void sendWhenConnected(PeerLink link, VmId receiver, PeerMessage message) {
        await(() -> link.send(receiver, message));
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            assertThat(Thread.currentThread().isInterrupted())
                    .as("interrupted while waiting")
                    .isFalse();
            Thread.onSpinWait();
        }
    }

    private static int sendFrame(int port, int length, byte[] content) throws IOException {
        try (Socket socket = new Socket(HOST, port)) {
            socket.setSoTimeout(MAX_WAIT_MILLIS);
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(length);
            output.write(content);
            output.flush();
            return socket.getInputStream().read();
        }
    }

    private static Path resource(String name) throws Exception {
        return Path.of(PeerLinkTest.class.getResource("/tls/" + name).toURI());
    }

    private static PeerMessage.Probe probe(long sequence) {
        return new PeerMessage.Probe(sequence, new PeerMessage.Position(7, 42));
    }

    private static LogRecord.NodeAddress address(int port) {
        return new LogRecord.NodeAddress(HOST, port, new DomainId("pl-a"));
    }

    private static LogRecord.StateMember member(NodeId node, int port) {
        return new LogRecord.StateMember(node, 1, address(port));
    }
}
