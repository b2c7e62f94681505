import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store and some nodes in each of three zones. */
final class Cluster {
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final List<String> ZONES = List.of("north-a", "north-b", "north-c");

    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    private final Record record;

    Cluster(Path temporary, Record record) throws Exception {
        this(temporary, record, 1);
    }

    Cluster(Path temporary, Record record, int nodesInZone) throws Exception {
        this.record = record;
        List<String> ips = new ArrayList<>();
        for (int place = 0; place < 3 * nodesInZone; place++) {
            ips.add("127.0." + (place % 3 + 1) + "." + (place / 3 + 1));
        }
        Node.Ports ports = Ports.free(ips);
        for (int place = 0; place < ips.size(); place++) {
            String zone = ZONES.get(place % 3);
            nodes.add(new Node(
                    temporary, ips.get(place), "node-" + place, zone, ports, store.address(), ips.subList(0, 3)));
        }
    }

    /** Starts the nodes; the servers and the configuration must be in the store. */
    void start() throws Exception {
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady(30_000);
        }
        record.add(nodes.size() + " nodes are ready");
    }

    void end() throws Exception {
        for (Node node : nodes) {
            node.kill();
        }
    }

    static String configuration(String routes, String services) {
        return "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + services + "],"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    static String service(String name, int connections, String more) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConns\":" + connections
                + ",\"Protocol\":\"h1\",\"Tls\":false" + more + "}";
    }

    /** Runs something again and again until the program ends. */
    static void every(long millis, Every task) {
        Thread.ofVirtual().start(() -> {
            try {
                for (int number = 1; true; number++) {
                    task.run(number);
                    Thread.sleep(millis);
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    interface Every {
        void run(int number) throws InterruptedException;
    }
}
