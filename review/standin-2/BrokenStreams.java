import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Half of the connections from one node to the engines are reset, several times; the engines go on. */
public final class BrokenStreams {
    private static final int ENGINES = 13;
    private static final int MAX_ATTEMPTS = 2;

    /** Connections of one node are reset, a share of 0.08 of twelve. */
    private static final int NODES_IN_ZONE = 4;

    private static final int INTERVAL = Integer.getInteger("interval", 100);
    private static final int SECONDS = Integer.getInteger("seconds", 40);
    private static final int GAP = Integer.getInteger("gap", 700);
    private static final double SHARE = Double.parseDouble(System.getProperty("share", "0.4"));

    private final Record record;
    private final boolean trouble;
    private final Map<String, Set<String>> ranOn = new ConcurrentHashMap<>();
    private final Map<Http.Connection, String> open = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();

    private BrokenStreams(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]).resolve("record.txt"))) {
            try {
                result = new BrokenStreams(record, !"0".equals(System.getenv("TROUBLE")))
                        .run(Folders.temporary());
            } catch (Exception failed) {
                record.add("could not run: " + failed);
            }
            record.add("result " + result);
        }
        System.exit(result);
    }

    private void stream(Http.Message request, Http.Connection connection, String head) throws Exception {
        String id = request.header("X-Wagtaillug-Attempt-Id");
        String server = request.header("X-Wagtaillug-Expect-Instance");
        String last = request.header("Last-Event-Id");
        ranOn.computeIfAbsent(id, any -> ConcurrentHashMap.newKeySet()).add(server);
        record.add(id + " runs at " + server + (last.isEmpty() ? "" : " after event " + last));
        open.put(connection, id);
        try {
            Thread.sleep(150);
            connection.write(
                    "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= 30; event++) {
                connection.write(Servers.chunk("id: " + event + "\ndata: " + id + " " + event + "\n\n"));
                Thread.sleep(75);
            }
            connection.write("0\r\n\r\n");
        } finally {
            open.remove(connection);
        }
    }

    private int run(Path temporary) throws Exception {
        Cluster cluster = new Cluster(temporary, record, NODES_IN_ZONE);
        List<Servers.Server> engines = new ArrayList<>();
        for (int place = 0; place < ENGINES; place++) {
            Servers.Server engine = new Servers.Server("engines", 64, this::stream);
            engines.add(engine);
        }
        Cluster.every(1200, number -> {
            for (int place = 0; place < ENGINES; place++) {
                cluster.store.put(
                        "keyed.servers",
                        engines.get(place).id,
                        engines.get(place).entry(Cluster.ZONES.get(place % 3), number, "ready"));
            }
        });
        cluster.store.put(
                "keyed.op",
                "config",
                Cluster.configuration(
                        "{\"Name\":\"query\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/query/\",\"Kind\":\"streaming\","
                                + "\"TimeoutMs\":6000,\"GoalMs\":1700,\"Priority\":0,\"Service\":\"engines\",\"MaxAttempts\":"
                                + MAX_ATTEMPTS + ",\"Public\":false,\"Sticky\":true,\"CanResume\":true,\"GapGoalMs\":400}",
                        Cluster.service(
                                "engines",
                                370,
                                ",\"ColdS\":3.0,\"ColdPerS\":8.2,\"Engine\":{\"Slots\":64,\"KvCapacity\":287304,"
                                        + "\"Models\":[{\"Name\":\"m\"}]}")));
        cluster.start();
        Node node = cluster.nodes.getFirst();
        Cluster.every(INTERVAL, number -> Thread.ofVirtual().start(() -> send(node, "query-" + number, number % 20)));
        // Nodes repeat nothing in their first ten seconds.
        Thread.sleep(13_000);
        long until = record.millis() + SECONDS * 1000L;
        while (record.millis() < until) {
            for (int reset = 0; reset < 2; reset++) {
                if (trouble) {
                    resetHalf();
                }
                Thread.sleep(GAP);
            }
            Thread.sleep(9500);
        }
        Thread.sleep(3000);
        cluster.end();
        int over = 0;
        for (Map.Entry<String, Set<String>> entry : ranOn.entrySet()) {
            if (entry.getValue().size() > MAX_ATTEMPTS) {
                over++;
                record.add("BUDGET: " + entry.getKey() + " ran on " + entry.getValue().size() + " servers: " + entry.getValue());
            }
        }
        record.add(answered.get() + " streams were complete; " + over + " requests ran on more than " + MAX_ATTEMPTS
                + " servers, all of which went on");
        if (answered.get() < 50) {
            return 2;
        }
        return over > 3 ? 1 : 0;
    }

    private void resetHalf() {
        open.forEach((connection, id) -> {
            if (ThreadLocalRandom.current().nextDouble() < SHARE) {
                record.add("the connection of " + id + " to its server is reset");
                try {
                    connection.reset();
                } catch (IOException closed) {
                    record.add("it had ended");
                }
            }
        });
    }

    private void send(Node node, String id, int thing) {
        try (Client client = new Client(node.ip, node.callersPort(), 8000)) {
            Http.Message answer = client.send("POST /query/" + id + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                    + "X-Wagtaillug-Attempt-Id: " + id + "\r\nX-Wagtaillug-Deadline-Ms: 6000\r\nX-Wagtaillug-Model: m\r\n"
                    + "X-Wagtaillug-Token-Count: 2300,90\r\nX-Wagtaillug-Prompt-Prefix: 5c1e07a2:341,91bd3f" + (10 + thing)
                    + ":227\r\nAuthorization: Bearer " + Cluster.KEY + "\r\nContent-Length: 2\r\n\r\n{}");
            if (answer.status() == 200) {
                answered.incrementAndGet();
            } else {
                record.add("answer to " + id + ": " + answer.status() + " " + answer.text().strip());
            }
        } catch (IOException failed) {
            record.add("answer to " + id + ": " + failed);
        }
    }
}
