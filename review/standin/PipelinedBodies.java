import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep their connections for many idempotent requests. Some send a few requests one after the other without waiting
 * for the answers in between, as HTTP/1.1 allows. The servers compare what they run with what was sent.
 */
final class PipelinedBodies extends Rig {
    private static final int CLIENTS = 10;
    private static final int PIPELINING_CLIENTS = 3;
    private static final int ROUNDS = 20;
    private static final int REQUESTS_IN_ROUND = 3;
    /** The mean length of the bodies of the largest kind of request of the small deployment. */
    private static final int BODY_BYTES = 18_000;

    private static final int TIMEOUT_MILLIS = 3000;

    private final Map<String, String> sent = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private PipelinedBodies() throws IOException {}

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
            String attempt = request.header("X-Wagtaillug-Attempt-Id");
            runs.incrementAndGet();
            String seen = request.line.replace(" HTTP/1.1", "") + " " + request.text();
            note("%s runs %s, %d bytes of body", id, attempt, request.body.length);
            if (!seen.equals(sent.get(attempt))) {
                wrong.incrementAndGet();
                note("BROKEN: %s runs %s with another body than was sent: %s", id, attempt, difference(sent.get(attempt), seen));
            }
            running.incrementAndGet();
            pause(21);
            running.decrementAndGet();
            out.write(Rig.answer(200, new LinkedHashMap<>(head(request)), ("done " + attempt).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static String difference(String expected, String seen) {
        if (expected == null) {
            return "nobody sent this request";
        }
        int at = 0;
        while (at < Math.min(expected.length(), seen.length()) && expected.charAt(at) == seen.charAt(at)) {
            at++;
        }
        String part = seen.substring(at, Math.min(seen.length(), at + 60)).replace("\r", "\\r").replace("\n", "\\n");
        return "from byte " + at + " on it is \"" + part + "...\", sent was \""
                + expected.substring(at, Math.min(expected.length(), at + 60)) + "...\"; contains the head of another request: "
                + seen.contains(" HTTP/1.1");
    }

    private static String configuration() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"r-lookup\",\"Hostname\":\"jepu9.example\",\"PathPrefix\":\"/wuhu344/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":" + TIMEOUT_MILLIS + ",\"GoalMs\":1000,\"Service\":\"wuno96b\","
                + "\"Public\":false,\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\","
                + "\"MaxConns\":110,\"ColdS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY
                + "\"],\"Priority\":1}]}";
    }

    private byte[] request(String id) {
        StringBuilder body = new StringBuilder();
        for (int number = 0; body.length() < BODY_BYTES; number++) {
            body.append(id).append('.').append(number).append(',');
        }
        body.setLength(BODY_BYTES);
        sent.put(id, "PUT /wuhu344/" + id + " " + body);
        String head = "PUT /wuhu344/" + id + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Wagtaillug-Attempt-Id: " + id
                + "\r\nX-Wagtaillug-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    /** A client with one connection at a time; a new one after a failure. */
    private void client(Node node, int client, boolean pipelines) {
        Socket socket = null;
        InputStream in = null;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> ids = new ArrayList<>();
            for (int number = 0; number < REQUESTS_IN_ROUND; number++) {
                ids.add("c" + client + "r" + round + "n" + number);
            }
            int answered = 0;
            try {
                if (socket == null) {
                    socket = new Socket(node.host, node.front);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(TIMEOUT_MILLIS + 500);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                if (pipelines) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    ids.forEach(id -> all.writeBytes(request(id)));
                    note("client %d sends %s at once", client, ids);
                    socket.getOutputStream().write(all.toByteArray());
                }
                for (String id : ids) {
                    if (!pipelines) {
                        pause(50);
                        note("client %d sends %s", client, id);
                        socket.getOutputStream().write(request(id));
                    }
                    Message answer = readHead(in);
                    if (answer == null) {
                        throw new IOException("closed");
                    }
                    readBody(answer, in, true);
                    note("client %d, %s, got status %d, id %s", client, id, answer.status(), answer.header("X-Wagtaillug-Attempt-Id"));
                    answered++;
                    if (answer.status() == 200) {
                        served.incrementAndGet();
                    }
                }
            } catch (IOException failed) {
                unanswered.addAndGet(REQUESTS_IN_ROUND - answered);
                note("client %d has no answer to %s: %s", client, ids.subList(answered, ids.size()), failed.getMessage());
                try {
                    if (socket != null) {
                        socket.close();
                    }
                } catch (IOException closed) {
                    // It is closed.
                }
                socket = null;
            }
            pause(500);
        }
    }

    private void play() throws Exception {
        for (int number = 0; number < 3; number++) {
            new Orders("i-orders" + number);
        }
        store.put("keyed.op", "config", configuration());
        Node node = new Node("127.0.0.1", "mu-north-a", freePort("127.0.0.1"), freePort("127.0.0.1"), List.of());
        node.start().awaitReady();
        pause(2000);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            clients.add(run(() -> client(node, client, TROUBLE && client < PIPELINING_CLIENTS)));
        }
        for (Thread client : clients) {
            client.join(90_000);
        }
        String seen = sent.size() + " requests, " + served + " served, " + unanswered + " without an answer; " + runs
                + " runs, " + wrong + " of them with another body than was sent";
        if (wrong.get() == 0 && served.get() * 2 < sent.size()) {
            end(2, "COULD NOT RUN: " + seen);
        }
        end(wrong.get() > 0 ? 1 : 0, (wrong.get() > 0 ? "BROKEN (UNASKED): " : "held: ") + seen);
    }

    public static void main(String[] arguments) throws Exception {
        PipelinedBodies rig = new PipelinedBodies();
        try {
            rig.play();
        } catch (Exception failed) {
            failed.printStackTrace();
            rig.end(2, "COULD NOT RUN: " + failed);
        }
    }
}
