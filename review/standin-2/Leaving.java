import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server leaves; its entry changes in the store together with another disruption. The first argument is the folder of the
 * case, the second the disruption: "entry", where another writer puts an entry into the same topic, or "late", where a
 * heartbeat of the leaving server that got no answer is executed seconds later.
 */
public final class Leaving {
    private static final int DRAIN_MILLIS = 2000;

    private final Record record;
    private final boolean trouble;
    private final String mode;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private volatile long leftAt = Long.MAX_VALUE;
    private volatile String leaving = "";
    private volatile boolean ended;

    private Leaving(Record record, boolean trouble, String mode) {
        this.record = record;
        this.trouble = trouble;
        this.mode = mode;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]).resolve("record.txt"))) {
            try {
                result = new Leaving(record, !"0".equals(System.getenv("TROUBLE")), arguments[1])
                        .run(Folders.temporary());
            } catch (Exception failed) {
                record.add("could not run: " + failed);
            }
            record.add("result " + result);
        }
        System.exit(result);
    }

    private void answer(Http.Message request, Http.Connection connection, String head) throws Exception {
        String server = request.header("X-Wagtaillug-Expect-Instance");
        String id = request.header("X-Wagtaillug-Attempt-Id");
        long since = record.millis() - leftAt;
        if (server.equals(leaving) && since > DRAIN_MILLIS) {
            late.incrementAndGet();
            record.add("DRAIN: " + id + " reaches " + server + " " + since + " ms after the store acknowledged its leaving");
        } else {
            record.add(id + " reaches " + server);
        }
        Thread.sleep(90);
        connection.answer(200, head, "booked " + id);
    }

    private int run(Path temporary) throws Exception {
        Cluster cluster = new Cluster(temporary, record);
        List<Servers.Server> servers = new ArrayList<>();
        for (String zone : Cluster.ZONES) {
            Servers.Server server = new Servers.Server("orders", 6, this::answer);
            servers.add(server);
            states.put(server.id, "ready");
            cluster.store.put("keyed.servers", server.id, server.entry(zone, 1, "ready"));
        }
        cluster.store.put(
                "keyed.op",
                "config",
                Cluster.configuration(
                        "{\"Name\":\"confirm\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/confirm/\","
                                + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":386,\"Priority\":2,"
                                + "\"Service\":\"orders\",\"MaxAttempts\":1,\"Public\":false}",
                        Cluster.service("orders", 110, "")));
        AtomicInteger sequence = new AtomicInteger(1);
        Cluster.every(1200, number -> {
            sequence.incrementAndGet();
            for (int place = 0; place < servers.size(); place++) {
                Servers.Server server = servers.get(place);
                String state = states.get(server.id);
                if (!state.equals("removed")) {
                    cluster.store.put(
                            "keyed.servers", server.id, server.entry(Cluster.ZONES.get(place), sequence.get(), state));
                }
            }
        });
        cluster.start();
        Thread.sleep(4000);
        Cluster.every(12, number -> {
            if (ended) {
                return;
            }
            Node node = cluster.nodes.get(number % 3);
            Thread.ofVirtual().start(() -> send(node, "confirm-" + number));
        });
        Thread.sleep(1000);
        Servers.Server server = servers.getFirst();
        if (mode.equals("entry")) {
            removedBesideAnotherEntry(cluster.store, server, servers.get(1));
        } else {
            drainedBeforeALateHeartbeat(cluster.store, server);
        }
        ended = true;
        Thread.sleep(1600);
        cluster.end();
        record.add(answered.get() + " requests were answered with 200");
        if (answered.get() < 100) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }

    /** A server's entry is removed, without an announcement, right after another writer has added an entry of its own. */
    private void removedBesideAnotherEntry(Store store, Servers.Server server, Servers.Server other) throws Exception {
        if (trouble) {
            String unnamed = "another-registry/teams/catering-platform/regions/indian-ocean/environments/production/"
                    + "deployments/blue/services/lunch-order-service-of-the-second-kitchen/replicas/7";
            store.put(
                    "keyed.servers",
                    "foreign-1",
                    "{\"Service\":\"" + unnamed + "\",\"Address\":\"" + other.address()
                            + "\",\"Zone\":\"north-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,"
                            + "\"SeqNo\":1,\"born\":1780000000000}");
            record.add("another writer puts an entry of the service " + unnamed);
        }
        states.put(server.id, "removed");
        leaving = server.id;
        store.put("keyed.servers", server.id, "");
        leftAt = record.millis();
        record.add("the entry of " + server.id + " is removed; it serves for some seconds more");
        Thread.sleep(10_000);
    }

    /** A heartbeat that got no answer is executed under six seconds later; the server has begun to drain meanwhile. */
    private void drainedBeforeALateHeartbeat(Store store, Servers.Server server) throws Exception {
        states.put(server.id, "removed"); // its own heartbeats follow here, in its own rhythm
        int next = 100;
        int lost = next++;
        final long lostAt = record.millis();
        record.add("a heartbeat of " + server.id + " (ready, SeqNo " + lost + ") gets no answer from the store");
        for (int beat = 0; beat < 2; beat++) {
            Thread.sleep(1200);
            store.put("keyed.servers", server.id, server.entry("north-a", next++, "ready"));
        }
        awaitMillis(lostAt + 3100);
        leaving = server.id;
        store.put("keyed.servers", server.id, server.entry("north-a", next, "draining"));
        leftAt = record.millis();
        record.add("the store acknowledges that " + server.id + " is draining, SeqNo " + next++);
        for (int beat = 1; beat <= 6; beat++) {
            awaitMillis(leftAt + beat * 1200L);
            store.put("keyed.servers", server.id, server.entry("north-a", next, "draining"));
            record.add("heartbeat of " + server.id + ", draining, SeqNo " + next++);
            if (beat == 2 && trouble) {
                awaitMillis(lostAt + 5600);
                store.put("keyed.servers", server.id, server.entry("north-a", lost, "ready"));
                record.add("the store executes the heartbeat with SeqNo " + lost + ", " + (record.millis() - lostAt)
                        + " ms after it was sent");
            }
        }
    }

    private void awaitMillis(long time) throws InterruptedException {
        while (record.millis() < time) {
            Thread.sleep(1);
        }
    }

    private void send(Node node, String id) {
        try (Client client = new Client(node.ip, node.callersPort(), 2000)) {
            Http.Message answer = client.send("POST /confirm/" + id + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                    + "X-Wagtaillug-Attempt-Id: " + id + "\r\nX-Wagtaillug-Deadline-Ms: 1500\r\nAuthorization: Bearer "
                    + Cluster.KEY + "\r\nContent-Length: 2\r\n\r\n{}");
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
