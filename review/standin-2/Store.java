import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: keyed topics with one partition. */
final class Store {
    private record Entry(String key, byte[] value) {}

    private static final long ANSWER_MILLIS = 4;

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final ServerSocket listener;

    Store() throws IOException {
        listener = Http.serve("127.0.0.1", 0, this::handle);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes as the operator or a server does. */
    synchronized void put(String topic, String key, String value) {
        topics.computeIfAbsent(topic, any -> new ArrayList<>())
                .add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        String topic = request.query("Topic");
        switch (request.path()) {
            case "/api/log-append" -> append(topic, request, connection);
            case "/api/log-read" -> read(topic, request, connection);
            case "/api/log-newest" -> newest(topic, request, connection);
            default -> connection.answer(404, "", "");
        }
    }

    private void append(String topic, Http.Message request, Http.Connection connection) throws IOException {
        int first;
        int end;
        synchronized (this) {
            List<Entry> entries = topics.computeIfAbsent(topic, any -> new ArrayList<>());
            String at = request.query("At");
            if (!at.isEmpty() && Long.parseLong(at) != entries.size()) {
                first = -1;
            } else {
                first = entries.size();
                ByteBuffer body = ByteBuffer.wrap(request.body());
                while (body.hasRemaining()) {
                    int length = body.getInt();
                    byte[] key = new byte[body.get() & 0xff];
                    body.get(key);
                    byte[] value = new byte[length - 1 - key.length];
                    body.get(value);
                    entries.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
                }
                notifyAll();
            }
            end = entries.size();
        }
        String answer = first < 0 ? "{\"End\":" + end + "}" : "{\"Offset\":" + first + ",\"End\":" + end + "}";
        connection.answer(first < 0 ? 412 : 200, "Content-Type: application/json\r\n", answer);
    }

    private void read(String topic, Http.Message request, Http.Connection connection) throws Exception {
        int from = Integer.parseInt(request.query("From"));
        String wait = request.query("WaitMs");
        long until = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            List<Entry> entries = topics.computeIfAbsent(topic, any -> new ArrayList<>());
            while (entries.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (int offset = from; offset < entries.size(); offset++) {
                byte[] key = entries.get(offset).key().getBytes(StandardCharsets.UTF_8);
                byte[] value = entries.get(offset).value();
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
        }
        connection.answer(200, "", bytes.toByteArray());
    }

    private void newest(String topic, Http.Message request, Http.Connection connection) throws IOException {
        Map<String, String> items = new TreeMap<>();
        int end;
        synchronized (this) {
            List<Entry> entries = topics.computeIfAbsent(topic, any -> new ArrayList<>());
            end = entries.size();
            for (int offset = 0; offset < end; offset++) {
                Entry entry = entries.get(offset);
                if (entry.value().length == 0) {
                    items.remove(entry.key());
                } else {
                    items.put(
                            entry.key(),
                            "{\"Key\":\"" + entry.key() + "\",\"Value\":\""
                                    + Base64.getEncoder().encodeToString(entry.value()) + "\",\"Offset\":" + offset + "}");
                }
            }
        }
        items.keySet().removeIf(key -> key.compareTo(request.query("After")) <= 0);
        connection.answer(
                200,
                "Content-Type: application/json\r\n",
                "{\"Items\":[" + String.join(",", items.values()) + "],\"HasMore\":false,\"End\":" + end + "}");
    }
}
