import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty stage servers send some of their answers a second time, late: at the point where the next answer on that
 * connection is expected. An engine notes which results its requests name.
 */
final class ExtraStageAnswers extends Rig {
    private static final double TRAFFIC_SECONDS = 40;
    private static final double REQUESTS_PER_SECOND = 20;
    /** The disruption comes three times for 5 s: 3 in 100 of the answers of 3 of 5 servers. */
    private static final double[] FROM = {5, 16, 27};

    private static final double LASTS = 5;
    private static final double SHARE_OF_ANSWERS = 0.03;
    private static final int STAGE_SERVERS = 5;
    private static final int FAULTY_SERVERS = 3;

    private final AtomicInteger answersInWindow = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger engineRuns = new AtomicInteger();
    private volatile double trafficBegan = -1;

    private ExtraStageAnswers() throws IOException {}

    private boolean disrupted() {
        double at = seconds() - trafficBegan;
        boolean within = false;
        for (double from : FROM) {
            within |= at >= from && at < from + LASTS;
        }
        return TROUBLE && trafficBegan >= 0 && within;
    }

    private final class FaultyStageServer extends StageServer {
        private final boolean faulty;
        private final Map<Socket, byte[]> due = new ConcurrentHashMap<>();

        FaultyStageServer(String id, String zone, boolean faulty) throws IOException {
            super(id, "kafi81c", zone, 150, 21.3);
            this.faulty = faulty;
        }

        @Override
        void onAnswered(Socket connection, byte[] answer) {
            if (!faulty || !disrupted()) {
                return;
            }
            int answers = answersInWindow.incrementAndGet();
            // One in 33 (a share of 0.03), evenly: the 33rd answer, the 66th, and so on.
            if (Math.floor(answers * SHARE_OF_ANSWERS) > extras.get()) {
                extras.incrementAndGet();
                due.put(connection, answer);
                note("%s will send this answer once more: %s", id, body(answer));
            }
        }

        @Override
        void onHead(Socket connection, OutputStream out) throws IOException {
            byte[] extra = due.remove(connection);
            if (extra != null) {
                out.write(extra);
                out.flush();
                note("%s sends the extra answer, as the next request on that connection arrives", id);
            }
        }
    }

    private static String body(byte[] answer) {
        String text = new String(answer, StandardCharsets.UTF_8);
        return text.substring(text.indexOf("\r\n\r\n") + 4);
    }

    private final class Engine extends Server {
        Engine(String id, String zone) throws IOException {
            super(id, "huvo11a", zone);
        }

        @Override
        void handle(Message request, Socket connection, OutputStream out) throws IOException {
            String attempt = request.header("X-Wagtaillug-Attempt-Id");
            Map<String, String> head = new LinkedHashMap<>(head(request));
            if (attempt == null || request.header("X-Wagtaillug-Inputs") == null) {
                head.put("X-Wagtaillug-Not-Executed", "1");
                out.write(Rig.answer(400, head, new byte[0]));
                return;
            }
            List<String> foreign = new ArrayList<>();
            boolean gone = false;
            String[] handles = request.header("X-Wagtaillug-Inputs").split(",");
            for (String handle : handles) {
                Made result = made.get(handle.strip());
                gone |= !existing.containsKey(handle.strip());
                if (result == null || !result.request().equals(attempt)) {
                    foreign.add(handle.strip() + " = " + result);
                }
            }
            if (gone) {
                note("%s answers 409 to request %s with inputs %s", id, attempt, String.join(",", handles));
                head.put("X-Wagtaillug-Not-Executed", "1");
                out.write(Rig.answer(409, head, new byte[0]));
                return;
            }
            engineRuns.incrementAndGet();
            note("%s runs request %s with inputs %s", id, attempt, String.join(",", handles));
            if (!foreign.isEmpty()) {
                wrong.incrementAndGet();
                note("BROKEN: %s runs request %s with inputs of another request: %s", id, attempt, foreign);
            }
            running.incrementAndGet();
            // A prompt of 9,190 tokens, 30.9 read in a ms.
            pause(300);
            head.put("Content-Type", "text/event-stream");
            StringBuilder lines = new StringBuilder("HTTP/1.1 200 OK\r\n");
            head.forEach((name, value) -> lines.append(name).append(": ").append(value).append("\r\n"));
            out.write(lines.append("Transfer-Encoding: chunked\r\n\r\n").toString().getBytes(StandardCharsets.UTF_8));
            for (int event = 1; event <= 17; event++) {
                String text = "id: " + event + "\ndata: piece " + event + " of " + attempt + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                pause(40);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            running.decrementAndGet();
        }
    }

    private static String configuration() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"r-draft\",\"Hostname\":\"pule25.example\",\"PathPrefix\":\"/puxa400/\","
                + "\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"GoalMs\":1300,\"Priority\":1,\"Service\":\"huvo11a\","
                + "\"MaxAttempts\":1,\"Stages\":[{\"Service\":\"kafi81c\",\"After\":[],\"Bytes\":3000000}],\"Public\":false,"
                + "\"Sticky\":true,\"CanResume\":false,\"GapGoalMs\":400}],\"Services\":[{\"Name\":\"huvo11a\","
                + "\"HealthPath\":\"/health\",\"MaxConns\":370,\"ColdS\":3.0,\"ColdPerS\":8.2,\"Engine\":{\"Slots\":64,"
                + "\"KvCapacity\":287304}},{\"Name\":\"kafi81c\",\"HealthPath\":\"/health\",\"MaxConns\":370,\"ColdS\":0.0,"
                + "\"ColdPerS\":0.0,\"Pieces\":{\"Slots\":1,\"Queue\":2,\"Batch\":6,\"CallMs\":150.0,"
                + "\"ItemMs\":21.333333333333332,\"HeadroomMb\":33.75,\"HandleS\":4.0,\"LinkMbps\":10000}}],"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    private void play() throws Exception {
        for (int number = 0; number < STAGE_SERVERS; number++) {
            new FaultyStageServer("i-stage" + number, "mu-north-a", number < FAULTY_SERVERS);
        }
        for (int number = 0; number < 3; number++) {
            new Engine("i-engine" + number, "mu-north-a");
        }
        store.put("keyed.op", "config", configuration());
        Node node = new Node("127.0.0.1", "mu-north-a", freePort("127.0.0.1"), freePort("127.0.0.1"), List.of());
        node.start().awaitReady();
        pause(3000);
        trafficBegan = seconds();
        note("traffic begins");
        Random random = new Random(62);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        while (seconds() < trafficBegan + TRAFFIC_SECONDS) {
            String id = String.format("%016x", random.nextLong());
            clients.add(run(() -> {
                String body = "x".repeat(18_000);
                String request = "POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nX-Wagtaillug-Attempt-Id: " + id
                        + "\r\nX-Wagtaillug-Model: m\r\nX-Wagtaillug-Token-Count: 9190,80\r\n"
                        + "X-Wagtaillug-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780," + id.substring(8) + ":2890\r\n"
                        + "X-Wagtaillug-Pieces: 1\r\nX-Wagtaillug-Piece-Key: " + id.substring(4) + "\r\n"
                        + "X-Wagtaillug-Deadline-Ms: 6000\r\nAuthorization: Bearer " + KEY + "\r\nConnection: close\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                note("client sends request %s", id);
                sent.incrementAndGet();
                Outcome outcome = get("127.0.0.1", node.front, request, 6000);
                if (outcome.status == 200 && outcome.complete) {
                    served.incrementAndGet();
                }
                note("client of request %s got %s", id, outcome);
            }));
            pause(1000 / REQUESTS_PER_SECOND);
        }
        for (Thread client : clients) {
            client.join(7000);
        }
        String seen = sent + " requests, " + served + " served; " + answersInWindow + " answers of " + FAULTY_SERVERS
                + " of " + STAGE_SERVERS + " stage servers within " + FROM.length + " x " + LASTS + " s, " + extras + " of them sent once more; " + engineRuns
                + " runs, " + wrong + " with inputs of another request";
        if (served.get() < sent.get() / 2 || (TROUBLE && extras.get() == 0)) {
            end(2, "COULD NOT RUN: " + seen);
        }
        end(wrong.get() > 0 ? 1 : 0, (wrong.get() > 0 ? "BROKEN (MIXED): " : "held: ") + seen);
    }

    public static void main(String[] arguments) throws Exception {
        ExtraStageAnswers rig = new ExtraStageAnswers();
        try {
            rig.play();
        } catch (Exception failed) {
            failed.printStackTrace();
            rig.end(2, "COULD NOT RUN: " + failed);
        }
    }
}
