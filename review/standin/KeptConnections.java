import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep their connections: each looks up an order and, when it has the whole answer, sends a draft with a body of
 * 18,000 bytes on the same connection. Usually it thinks in between; in a burst it does not.
 */
final class KeptConnections extends Rig {
    private static final int CLIENTS = 24;
    private static final double TRAFFIC_SECONDS = 72;
    private static final double[] BURSTS = {6, 24, 42};
    private static final double BURST_LASTS = 6.5;
    /** Between two requests of a client: in usual traffic, and in a burst. */
    private static final double THINK_MILLIS = 220;

    private static final double THINK_IN_BURST_MILLIS = 0;
    private static final int BODY_BYTES = 18_000;
    private static final int TIMEOUT_MILLIS = 6000;
    private static final int LOOKUP_TIMEOUT_MILLIS = 600;

    private final AtomicInteger sentUsually = new AtomicInteger();
    private final AtomicInteger sentInBursts = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger atTimeout = new AtomicInteger();
    private final AtomicInteger afterTimeout = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger otherFailures = new AtomicInteger();
    private double began;

    private KeptConnections() throws IOException {}

    private boolean burst() {
        double at = seconds() - began;
        for (double from : BURSTS) {
            if (at >= from && at < from + BURST_LASTS) {
                return true;
            }
        }
        return false;
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
            pause(21);
            running.decrementAndGet();
            out.write(Rig.answer(200, new LinkedHashMap<>(head(request)), new byte[800]));
        }
    }

    private final class Engine extends Server {
        Engine(String id) throws IOException {
            super(id, "huvo11a", "mu-north-a");
        }

        @Override
        void handle(Message request, Socket connection, OutputStream out) throws IOException {
            runs.incrementAndGet();
            note("%s runs %s", id, request.header("X-Wagtaillug-Attempt-Id"));
            Map<String, String> head = new LinkedHashMap<>(head(request));
            head.put("Content-Type", "text/event-stream");
            pause(60);
            StringBuilder lines = new StringBuilder("HTTP/1.1 200 OK\r\n");
            head.forEach((name, value) -> lines.append(name).append(": ").append(value).append("\r\n"));
            out.write(lines.append("Transfer-Encoding: chunked\r\n\r\n").toString().getBytes(StandardCharsets.UTF_8));
            for (int event = 1; event <= 4; event++) {
                String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                pause(10);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    private static String configuration() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"r-lookup\",\"Hostname\":\"jepu9.example\",\"PathPrefix\":\"/wuhu344/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":" + LOOKUP_TIMEOUT_MILLIS + ",\"GoalMs\":121,\"Service\":\"wuno96b\","
                + "\"Public\":false,\"MaxAttempts\":2},{\"Name\":\"r-draft\",\"Hostname\":\"jepu9.example\",\"PathPrefix\":"
                + "\"/puxa400/\",\"Kind\":\"streaming\",\"TimeoutMs\":" + TIMEOUT_MILLIS + ",\"GoalMs\":1300,\"Priority\":1,"
                + "\"Service\":\"huvo11a\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,\"CanResume\":false,"
                + "\"GapGoalMs\":400}],\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":110,"
                + "\"ColdS\":0.0,\"ColdPerS\":0.0},{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\",\"MaxConns\":370,"
                + "\"ColdS\":3.0,\"ColdPerS\":8.2,\"Engine\":{\"Slots\":64,\"KvCapacity\":287304}}],"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    private static byte[] request(String line, String id, int millis, int length) {
        String head = line + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Wagtaillug-Attempt-Id: " + id
                + "\r\nX-Wagtaillug-Deadline-Ms: " + millis + "\r\nAuthorization: Bearer " + KEY + "\r\n"
                + (length > 0
                        ? "X-Wagtaillug-Model: m\r\nX-Wagtaillug-Token-Count: 1460,80\r\nX-Wagtaillug-Prompt-Prefix: "
                                + "5c1e07a2:800,91bd3f06:410," + Integer.toHexString(id.hashCode()) + ":250\r\nContent-Length: "
                                + length + "\r\n"
                        : "")
                + "\r\n";
        return (head + "x".repeat(length)).getBytes(StandardCharsets.UTF_8);
    }

    private void think() {
        pause(TROUBLE && burst() ? THINK_IN_BURST_MILLIS : THINK_MILLIS);
    }

    private void client(Node node, int client) {
        Socket socket = null;
        InputStream in = null;
        int number = 0;
        while (seconds() < began + TRAFFIC_SECONDS) {
            boolean draft = false;
            String id = "";
            try {
                if (socket == null) {
                    socket = new Socket(node.host, node.front);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                for (int step = 0; step < 2; step++) {
                    draft = step == 1;
                    id = "c" + client + "n" + ++number + (draft ? "draft" : "lookup");
                    int timeout = draft ? TIMEOUT_MILLIS : LOOKUP_TIMEOUT_MILLIS;
                    socket.setSoTimeout(timeout);
                    (burst() ? sentInBursts : sentUsually).incrementAndGet();
                    note("client sends %s", id);
                    socket.getOutputStream().write(draft
                            ? request("POST /puxa400/2f", id, timeout, BODY_BYTES)
                            : request("GET /wuhu344/2f", id, timeout, 0));
                    Message answer = readHead(in);
                    if (answer == null) {
                        throw new IOException("closed");
                    }
                    readBody(answer, in, true);
                    note("client has the answer to %s: status %d", id, answer.status());
                    if (answer.status() == 200 && answer.complete) {
                        served.incrementAndGet();
                    }
                    think();
                }
            } catch (java.net.SocketTimeoutException unanswered) {
                atTimeout.incrementAndGet();
                note("%s has no answer after its route's timeout of %d ms", id, draft ? TIMEOUT_MILLIS : LOOKUP_TIMEOUT_MILLIS);
                try {
                    // Half a second more, by the rule.
                    socket.setSoTimeout(500);
                    int next = in.read();
                    note("%s: %s within half a second more", id, next < 0 ? "closed" : "an answer begins");
                } catch (java.net.SocketTimeoutException stillUnanswered) {
                    afterTimeout.incrementAndGet();
                    note("BROKEN: %s has no answer half a second later, and its connection is open", id);
                } catch (IOException reset) {
                    note("%s: %s", id, reset.getMessage());
                }
                socket = close(socket);
            } catch (IOException failed) {
                otherFailures.incrementAndGet();
                note("%s failed: %s", id, failed.getMessage());
                socket = close(socket);
            }
        }
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException closed) {
            // It is closed.
        }
        return null;
    }

    private void play() throws Exception {
        for (int number = 0; number < 3; number++) {
            new Orders("i-orders" + number);
        }
        for (int number = 0; number < 3; number++) {
            new Engine("i-engine" + number);
        }
        store.put("keyed.op", "config", configuration());
        Node node = new Node("127.0.0.1", "mu-north-a", freePort("127.0.0.1"), freePort("127.0.0.1"), List.of());
        node.start().awaitReady();
        pause(3000);
        began = seconds();
        note("traffic begins");
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            clients.add(run(() -> {
                pause(THINK_MILLIS * client / CLIENTS);
                client(node, client);
            }));
        }
        for (Thread client : clients) {
            client.join((long) (1000 * (TRAFFIC_SECONDS + 15)));
        }
        double inBursts = BURSTS.length * BURST_LASTS;
        String seen = String.format(
                java.util.Locale.ROOT,
                "%d requests (%.0f a second usually, %.0f in the %d times %.1f s of a burst), %d served; %d had no answer at their "
                        + "route's timeout, %d of them none half a second later; %d failed in another way",
                sentUsually.get() + sentInBursts.get(),
                sentUsually.get() / (TRAFFIC_SECONDS - inBursts),
                sentInBursts.get() / inBursts,
                BURSTS.length,
                BURST_LASTS,
                served.get(),
                atTimeout.get(),
                afterTimeout.get(),
                otherFailures.get());
        boolean broken = afterTimeout.get() >= 8 && afterTimeout.get() * 2 > atTimeout.get();
        if (!broken && served.get() * 2 < sentUsually.get() + sentInBursts.get()) {
            end(2, "COULD NOT RUN: " + seen);
        }
        end(broken ? 1 : 0, (broken ? "BROKEN (CONFIG): " : "held: ") + seen);
    }

    public static void main(String[] arguments) throws Exception {
        KeptConnections rig = new KeptConnections();
        try {
            rig.play();
        } catch (Exception failed) {
            failed.printStackTrace();
            rig.end(2, "COULD NOT RUN: " + failed);
        }
    }
}
