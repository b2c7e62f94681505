import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A node is killed while another one has its first orders of pieces, and is started again. */
public final class ForeignInputs {
    private static final String KEY = "9dnn2ctnfzs989anu6ws";
    private static final int INTERVAL = Integer.getInteger("interval", 50);
    private static final int FIRST_KILL = Integer.getInteger("kill", 200);
    private static final int LATER = Integer.getInteger("later", 100);
    private static final int ROUNDS = Integer.getInteger("rounds", 8);
    private static final double SLOWNESS = 5;
    /** One of them turns slow, a share of 0.25. */
    private static final int STAGE_SERVERS = 4;

    private static final int FEW_PIECES = 3;
    private static final int MANY_PIECES = 6;

    private final Record record;
    private final boolean trouble;
    private volatile int pieces = FEW_PIECES;
    private final Map<String, String> foreign = new ConcurrentHashMap<>();

    private ForeignInputs(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Path temporary = Folders.temporary();
        int result = 2;
        try (Record record = new Record(folder.resolve("record.txt"))) {
            try {
                result = new ForeignInputs(record, !"0".equals(System.getenv("TROUBLE"))).run(temporary);
            } catch (Exception failed) {
                record.add("could not run: " + failed);
            }
            record.add("result " + result);
        }
        System.exit(result);
    }

    private String configuration() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"draft\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/draft/\","
                + "\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"GoalMs\":1300,\"Priority\":1,\"Service\":\"engines\","
                + "\"MaxAttempts\":1,\"Stages\":[{\"Service\":\"billing\",\"After\":[],\"Bytes\":3000000}],\"Public\":false,"
                + "\"Sticky\":true,\"CanResume\":false,\"GapGoalMs\":400}],"
                + "\"Services\":[{\"Name\":\"engines\",\"HealthPath\":\"/health\",\"MaxConns\":370,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"ColdS\":3.0,\"ColdPerS\":8.2,\"Engine\":{\"Slots\":64,\"KvCapacity\":287304,"
                + "\"Models\":[{\"Name\":\"m\"}]}},"
                + "{\"Name\":\"billing\",\"HealthPath\":\"/health\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"ColdS\":0.0,\"ColdPerS\":0.0,\"Pieces\":{\"Slots\":1,\"Queue\":2,\"Batch\":6,\"CallMs\":150.0,"
                + "\"ItemMs\":21.333333333333332,\"HeadroomMb\":33.75,\"HandleS\":4.0,\"LinkMbps\":10000}}],"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    private void stream(Http.Message request, Http.Connection connection, String head) throws Exception {
        String id = request.header("X-Wagtaillug-Attempt-Id");
        for (String handle : request.header("X-Wagtaillug-Inputs").split(",")) {
            Servers.Piece piece = Servers.PIECES.get(handle);
            String owner = piece == null ? "nobody" : piece.request() + "/" + piece.stage() + "/" + piece.piece();
            record.add("engine runs " + id + " with the input " + handle + ", which is a result of " + owner);
            if (piece == null || !piece.request().equals(id)) {
                foreign.put(id, owner);
            }
        }
        connection.write("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 8; event++) {
            Thread.sleep(40);
            connection.write(Servers.chunk("id: " + event + "\ndata: " + id + "\n\n"));
        }
        connection.write("0\r\n\r\n");
    }

    private int run(Path temporary) throws Exception {
        Store store = new Store();
        List<Servers.Stage> stages = new ArrayList<>();
        List<String> zones = List.of("north-a", "north-b", "north-c");
        for (int place = 0; place < STAGE_SERVERS; place++) {
            Servers.Stage stage = new Servers.Stage("billing", 150, 21.333, 2, record);
            stages.add(stage);
            store.put("keyed.servers", stage.id, stage.entry(zones.get(place % 3), 1));
        }
        for (String zone : zones) {
            Servers.Server engine = new Servers.Server("engines", 64, this::stream);
            store.put("keyed.servers", engine.id, engine.entry(zone, 1, "ready"));
        }
        store.put("keyed.op", "config", configuration());
        List<String> ips = List.of("127.0.1.1", "127.0.2.1", "127.0.3.1");
        Node.Ports ports = Ports.free(ips);
        List<Node> nodes = new ArrayList<>();
        for (int place = 0; place < 3; place++) {
            Node node = new Node(temporary, ips.get(place), "node-" + place, zones.get(place), ports, store.address(), ips);
            nodes.add(node);
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady(30_000);
        }
        // The heartbeats of the servers.
        Thread.ofVirtual().start(() -> {
            for (int sequence = 2; true; sequence++) {
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException stopped) {
                    return;
                }
                for (int place = 0; place < STAGE_SERVERS; place++) {
                    Servers.Stage stage = stages.get(place);
                    store.put("keyed.servers", stage.id, stage.entry(zones.get(place % 3), sequence));
                }
            }
        });
        Thread.sleep(3000);
        // One request through the first node shows which one fills the calls of the pool.
        send(nodes.getFirst(), "warm-up");
        Node filler = null;
        for (Node node : nodes) {
            filler = node.logged("\"piece_call\"") > 0 ? node : filler;
        }
        if (filler == null) {
            record.add("no node has logged a call");
            return 2;
        }
        Node victim = null;
        for (Node node : nodes.subList(1, 3)) {
            victim = node == filler ? victim : node;
        }
        record.add(filler.ip + " fills the calls of the pool, " + victim.ip + " is killed");
        for (int round = 1; round <= ROUNDS; round++) {
            round(victim, stages.getFirst(), round);
        }
        foreign.forEach((id, owner) -> record.add("MIXED: " + id + " ran with the input of " + owner));
        for (Node node : nodes) {
            node.kill();
        }
        return foreign.isEmpty() ? 0 : 1;
    }

    /** The node begins its life; it is killed when clients have sent it their first requests, and started again. */
    private void round(Node victim, Servers.Stage slow, int round) throws Exception {
        if (round > 1) {
            if (trouble) {
                record.add("SIGKILL of " + victim.ip);
                victim.kill();
                victim.start();
            }
            victim.awaitReady(10_000);
            Thread.sleep(1000);
        }
        if (trouble) {
            slow.slowness = SLOWNESS;
            record.add("stage server " + slow.id + " turns slow");
        }
        pieces = round % 2 == 0 ? MANY_PIECES : FEW_PIECES;
        AtomicBoolean sending = new AtomicBoolean(true);
        Thread clients = Thread.ofVirtual().start(() -> {
            for (int number = 1; sending.get(); number++) {
                String id = "draft-" + round + "-" + number;
                Thread.ofVirtual().start(() -> send(victim, id));
                sleep(INTERVAL);
            }
        });
        Thread.sleep(FIRST_KILL + LATER * (round - 1));
        if (trouble) {
            record.add("SIGKILL of " + victim.ip);
            victim.kill();
            victim.start();
            record.add(victim.ip + " is started again");
        }
        Thread.sleep(2500);
        slow.slowness = 1;
        record.add("stage server " + slow.id + " is as fast as the others");
        sending.set(false);
        clients.join();
        Thread.sleep(2500);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Node node, String id) {
        record.add("client sends " + id + " to " + node.ip);
        try (Client client = new Client(node.ip, node.callersPort(), 8000)) {
            Http.Message answer = client.send("POST /draft/" + id + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                    + "X-Wagtaillug-Attempt-Id: " + id + "\r\nX-Wagtaillug-Deadline-Ms: 6000\r\nX-Wagtaillug-Model: m\r\n"
                    + "X-Wagtaillug-Token-Count: 460,80\r\nX-Wagtaillug-Prompt-Prefix: 5c1e07a2:200," + Servers.hex() + ":260\r\n"
                    + "X-Wagtaillug-Pieces: " + pieces + "\r\nX-Wagtaillug-Piece-Key: key-" + id + "\r\nAuthorization: Bearer " + KEY
                    + "\r\nContent-Length: 2\r\n\r\n{}");
            record.add("answer to " + id + ": " + answer.status()
                    + (answer.status() == 200 ? "" : " " + answer.text().strip()));
        } catch (Exception failed) {
            record.add("answer to " + id + ": " + failed);
        }
    }
}
