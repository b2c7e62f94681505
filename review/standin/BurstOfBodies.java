import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with bodies of the longest length that the configuration allows; for some seconds there are 2.6 times
 * as many. Other clients send small requests all the while.
 */
final class BurstOfBodies extends Rig {
    private static final int BODY_BYTES = 4_194_304;
    private static final double UPLOADS_PER_SECOND = 5;
    private static final double UPLOAD_SECONDS = 3;
    private static final double LOOKUPS_PER_SECOND = 4;
    private static final double TRAFFIC_SECONDS = 40;
    private static final double BURST_FROM = 8;
    private static final double BURST_LASTS = 6.5;
    private static final double BURST_FACTOR = 2.6;
    private static final int TIMEOUT_MILLIS = 6000;
    /** By the rule, a request without an answer this long after its route's timeout counts. */
    private static final int ANSWER_MILLIS = TIMEOUT_MILLIS + 500;

    private final AtomicInteger runs = new AtomicInteger();
    private final Tally lookups = new Tally();
    private final Tally uploads = new Tally();

    private BurstOfBodies() throws IOException {}

    private static final class Tally {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        /** Requests without a final answer half a second after the timeout of their route, though their connection is open. */
        private final AtomicInteger unanswered = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + served + " served, " + unanswered + " without an answer after " + ANSWER_MILLIS + " ms";
        }
    }

    private final class Orders extends Server {
        Orders(String id) throws IOException {
            super(id, "wuno96b", "mu-north-a");
        }

        @Override
        int slots() {
            return 6;
        }

        @Override
        void handle(Message request, Socket connection, OutputStream out) throws IOException {
            running.incrementAndGet();
            runs.incrementAndGet();
            pause(21);
            running.decrementAndGet();
            out.write(Rig.answer(200, new LinkedHashMap<>(head(request)), "done".getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static String configuration() {
        String orders = "\"TimeoutMs\":" + TIMEOUT_MILLIS + ",\"GoalMs\":2000,\"Service\":\"wuno96b\",\"Public\":false,";
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"r-confirm\",\"Hostname\":\"jepu9.example\",\"PathPrefix\":\"/bobo563/\","
                + "\"Kind\":\"non_idempotent\"," + orders + "\"MaxAttempts\":1},{\"Name\":\"r-lookup\",\"Hostname\":"
                + "\"jepu9.example\",\"PathPrefix\":\"/wuhu344/\",\"Kind\":\"idempotent\"," + orders + "\"MaxAttempts\":2}],"
                + "\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"ColdS\":0.0,"
                + "\"ColdPerS\":0.0}],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":" + BODY_BYTES
                + ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY
                + "\"],\"Priority\":1}]}";
    }

    private static String head(String line, String id, int length) {
        return line + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Wagtaillug-Attempt-Id: " + id + "\r\nX-Wagtaillug-Deadline-Ms: "
                + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer " + KEY + "\r\nConnection: close\r\n"
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Sends a request, its body over some time, and waits for the answer. */
    private void request(Node node, String name, String line, int length, double sendSeconds, Tally tally) {
        tally.sent.incrementAndGet();
        note("client sends %s, %d bytes", name, length);
        String seen;
        boolean open = true;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.host, node.front), ANSWER_MILLIS);
            socket.setSoTimeout(ANSWER_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(head(line, name, length).getBytes(StandardCharsets.UTF_8));
            int parts = 40;
            byte[] part = new byte[length / parts + 1];
            for (int sent = 0; sent < length; sent += part.length) {
                out.write(part, 0, Math.min(part.length, length - sent));
                pause(sendSeconds * 1000 / parts);
            }
            // The time counts from when the whole request was sent, which is kinder than the rule.
            socket.setSoTimeout(ANSWER_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message answer = readHead(in);
            if (answer == null) {
                seen = "closed";
                open = false;
            } else {
                readBody(answer, in, true);
                seen = "status " + answer.status();
                open = false;
                if (answer.status() == 200) {
                    tally.served.incrementAndGet();
                }
            }
        } catch (IOException failed) {
            seen = String.valueOf(failed.getMessage());
            // A connection that was not established carries no request.
            open = failed instanceof java.net.SocketTimeoutException && seen.startsWith("Read");
        }
        if (open) {
            tally.unanswered.incrementAndGet();
        }
        note("client of %s got: %s", name, seen);
    }

    private void play() throws Exception {
        for (int number = 0; number < 3; number++) {
            new Orders("i-orders" + number);
        }
        store.put("keyed.op", "config", configuration());
        Node node = new Node("127.0.0.1", "mu-north-a", freePort("127.0.0.1"), freePort("127.0.0.1"), List.of());
        node.start().awaitReady();
        pause(3000);
        double began = seconds();
        note("traffic begins");
        List<Thread> clients = new ArrayList<>();
        double nextUpload = began;
        double nextLookup = began;
        int number = 0;
        while (seconds() < began + TRAFFIC_SECONDS) {
            double now = seconds();
            boolean burst = TROUBLE && now >= began + BURST_FROM && now < began + BURST_FROM + BURST_LASTS;
            // The uploads end with the burst, so that what follows shows whether the node comes back.
            boolean uploading = now < began + BURST_FROM + BURST_LASTS;
            if (uploading && now >= nextUpload) {
                nextUpload = now + 1 / (UPLOADS_PER_SECOND * (burst ? BURST_FACTOR : 1));
                String name = "confirm-" + ++number;
                clients.add(run(() -> request(node, name, "POST /bobo563/lo7/2f", BODY_BYTES, UPLOAD_SECONDS, uploads)));
            }
            if (now >= nextLookup) {
                nextLookup = now + 1 / LOOKUPS_PER_SECOND;
                String name = "lookup-" + ++number;
                clients.add(run(() -> request(node, name, "GET /wuhu344/2f", 0, 0, lookups)));
            }
            pause(5);
        }
        for (Thread client : clients) {
            client.join(Math.max(1, (long) (1000 * (began + TRAFFIC_SECONDS + 8 - seconds()))));
        }
        java.nio.file.Files.readAllLines(node.log).stream()
                .filter(line -> line.contains("OutOfMemory") || line.contains("heap space"))
                .limit(8)
                .forEach(line -> note("the node's log: %s", line.substring(0, Math.min(400, line.length()))));
        boolean ready = node.process.isAlive() && node.isReady();
        String seen = "lookups: " + lookups + "; confirmations: " + uploads + "; at the end the process "
                + (node.process.isAlive() ? "runs" : "has ended") + " and is " + (ready ? "" : "not ") + "ready";
        boolean broken = lookups.unanswered.get() >= 8 && lookups.unanswered.get() * 4 > lookups.sent.get()
                || !node.process.isAlive();
        if (!broken && lookups.served.get() * 2 < lookups.sent.get()) {
            end(2, "COULD NOT RUN: " + seen);
        }
        end(broken ? 1 : 0, (broken ? "BROKEN (CONFIG): " : "held: ") + seen);
    }

    public static void main(String[] arguments) throws Exception {
        BurstOfBodies rig = new BurstOfBodies();
        try {
            rig.play();
        } catch (Exception failed) {
            failed.printStackTrace();
            rig.end(2, "COULD NOT RUN: " + failed);
        }
    }
}
