import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** The settings file of a node changes while its process starts: the platform sends SIGHUP. */
public final class HangUp {
    private static final int MACHINES = 2;
    private static final int TIMES = 3;
    private static final int AFTER_MILLIS = Integer.getInteger("after", 50);

    private HangUp() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]).resolve("record.txt"))) {
            try {
                result = run(record, !"0".equals(System.getenv("TROUBLE")), Folders.temporary());
            } catch (Exception failed) {
                record.add("could not run: " + failed);
            }
            record.add("result " + result);
        }
        System.exit(result);
    }

    private static int run(Record record, boolean trouble, Path temporary) throws Exception {
        Cluster cluster = new Cluster(temporary, record, 3);
        Servers.Server server = new Servers.Server(
                "orders", 6, (request, connection, head) -> connection.answer(200, head, "booked"));
        cluster.store.put("keyed.servers", server.id, server.entry("north-a", 1, "ready"));
        cluster.store.put(
                "keyed.op",
                "config",
                Cluster.configuration(
                        "{\"Name\":\"confirm\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/confirm/\","
                                + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":600,\"GoalMs\":121,\"Priority\":2,"
                                + "\"Service\":\"orders\",\"MaxAttempts\":1,\"Public\":false}",
                        Cluster.service("orders", 110, "")));
        for (Node node : cluster.nodes) {
            node.start();
        }
        record.add(cluster.nodes.size() + " processes are started");
        Map<String, Integer> ends = new HashMap<>();
        for (int time = 1; time <= TIMES; time++) {
            Thread.sleep(AFTER_MILLIS);
            for (Node node : cluster.nodes.subList(0, MACHINES)) {
                if (trouble) {
                    node.signal("HUP");
                    record.add("SIGHUP to the process of " + node.ip + ", " + AFTER_MILLIS + " ms after its start");
                }
            }
            Thread.sleep(3000);
            for (Node node : cluster.nodes.subList(0, MACHINES)) {
                if (!node.alive()) {
                    ends.merge(node.ip, 1, Integer::sum);
                    record.add("the process of " + node.ip + " has ended by itself, exit code "
                            + node.process().exitValue() + "; it is started again");
                    node.start();
                } else {
                    record.add("the process of " + node.ip + " runs, ready: " + node.ready());
                }
            }
        }
        for (Node node : cluster.nodes) {
            node.awaitReady(10_000);
        }
        cluster.end();
        long machines = ends.values().stream().filter(count -> count >= TIMES).count();
        record.add(machines + " of " + cluster.nodes.size() + " machines had a process end by itself " + TIMES + " times: " + ends);
        return machines >= MACHINES ? 1 : 0;
    }
}
