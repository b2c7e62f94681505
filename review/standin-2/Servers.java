import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Servers as the pages describe them: stage servers and engines. */
final class Servers {
    /** What a handle stands for. */
    record Piece(String request, int stage, int piece) {}

    /** The results of all stage servers, by handle; never deleted, so that a record can name them. */
    static final Map<String, Piece> PIECES = new ConcurrentHashMap<>();

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final Pattern ITEM = Pattern.compile("\\{[^{}]*\"Id\"[^{}]*\\}");

    private Servers() {}

    static String hex() {
        byte[] bytes = new byte[8];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(\"([^\"]*)\"|[0-9]+)").matcher(json);
        return matcher.find() ? matcher.group(2) == null ? matcher.group(1) : matcher.group(2) : "";
    }

    /** A stage server with one slot. */
    static final class Stage {
        final String id = "i-" + hex();
        final long born = System.currentTimeMillis();
        private final ServerSocket listener;
        private final Semaphore slot = new Semaphore(1, true);
        private final AtomicInteger queued = new AtomicInteger();
        private final Record record;
        private final String service;
        private final double callMillis;
        private final double itemMillis;
        private final int maxQueue;
        volatile double slowness = 1;

        Stage(String service, double callMillis, double itemMillis, int queue, Record record) throws IOException {
            this.service = service;
            this.callMillis = callMillis;
            this.itemMillis = itemMillis;
            this.maxQueue = queue;
            this.record = record;
            listener = Http.serve("127.0.0.1", 0, this::handle);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void handle(Http.Message request, Http.Connection connection) throws Exception {
            String echo = "X-Wagtaillug-Attempt-Id: " + request.header("X-Wagtaillug-Attempt-Id") + "\r\n"
                    + "X-Wagtaillug-Server-Load: " + (1 - slot.availablePermits()) + "," + queued.get() + ",1\r\n";
            String expected = request.header("X-Wagtaillug-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                connection.answer(421, "X-Wagtaillug-Instance-Id: " + id + "\r\nX-Wagtaillug-Not-Executed: 1\r\n" + echo, "");
                return;
            }
            if (request.path().equals("/health")) {
                connection.answer(200, "X-Wagtaillug-Instance-Id: " + id + "\r\n" + echo, "");
                return;
            }
            if (!request.path().equals("/api/stage-run")) {
                connection.answer(200, echo, "{}");
                return;
            }
            if (queued.incrementAndGet() > maxQueue + 1) {
                queued.decrementAndGet();
                connection.answer(503, "X-Wagtaillug-Not-Executed: 1\r\n" + echo, "");
                return;
            }
            slot.acquire();
            try {
                List<String> items = new ArrayList<>();
                Matcher matcher = ITEM.matcher(request.text());
                while (matcher.find()) {
                    items.add(matcher.group());
                }
                StringBuilder log = new StringBuilder();
                items.forEach(item -> log.append(' ').append(field(item, "Id")).append('/').append(field(item, "Stage"))
                        .append('/').append(field(item, "Piece")));
                record.add("stage server " + id + " (" + service + ") begins a call:" + log);
                Thread.sleep(Math.round((callMillis + itemMillis * items.size()) * slowness));
                StringBuilder answer = new StringBuilder();
                for (String item : items) {
                    String handle = address() + "/" + hex();
                    Piece piece = new Piece(
                            field(item, "Id"), Integer.parseInt(field(item, "Stage")), Integer.parseInt(field(item, "Piece")));
                    PIECES.put(handle, piece);
                    answer.append(answer.isEmpty() ? "" : ",").append("{\"Handle\":\"").append(handle).append("\"}");
                }
                record.add("stage server " + id + " ends the call of" + log);
                connection.answer(200, "Content-Type: application/json\r\n" + echo, "{\"Items\":[" + answer + "]}");
            } finally {
                queued.decrementAndGet();
                slot.release();
            }
        }

        String entry(String zone, int sequence) {
            return "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + zone
                    + "\",\"Version\":\"v1\",\"Slots\":1,\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":" + sequence
                    + ",\"born\":" + born + "}";
        }
    }

    /** How an engine or a plain server answers one request that it has accepted. */
    interface Run {
        void run(Http.Message request, Http.Connection connection, String head) throws Exception;
    }

    /** An engine or a plain server; what it runs is decided by a script. */
    static final class Server {
        final String id = "i-" + hex();
        final long born = System.currentTimeMillis();
        private final ServerSocket listener;
        private final String service;
        private final int slots;
        private final AtomicInteger running = new AtomicInteger();
        volatile Run run;

        Server(String service, int slots, Run run) throws IOException {
            this.service = service;
            this.slots = slots;
            this.run = run;
            listener = Http.serve("127.0.0.1", 0, this::handle);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        int port() {
            return listener.getLocalPort();
        }

        private void handle(Http.Message request, Http.Connection connection) throws Exception {
            String echo = "X-Wagtaillug-Attempt-Id: " + request.header("X-Wagtaillug-Attempt-Id") + "\r\n"
                    + "X-Wagtaillug-Server-Load: " + running.get() + ",0," + slots + "\r\n";
            String expected = request.header("X-Wagtaillug-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                connection.answer(421, "X-Wagtaillug-Instance-Id: " + id + "\r\nX-Wagtaillug-Not-Executed: 1\r\n" + echo, "");
                return;
            }
            if (request.path().equals("/health")) {
                connection.answer(200, "X-Wagtaillug-Instance-Id: " + id + "\r\n" + echo, "");
                return;
            }
            running.incrementAndGet();
            try {
                run.run(request, connection, echo + "X-Wagtaillug-Server-Seal: seal." + hex() + "\r\n");
            } finally {
                running.decrementAndGet();
            }
        }

        String entry(String zone, int sequence, String state) {
            return entry(address(), zone, sequence, state);
        }

        String entry(String address, String zone, int sequence, String state) {
            return "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone
                    + "\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"SeqNo\":"
                    + sequence + ",\"born\":" + born + "}";
        }
    }

    /** One chunk of a chunked answer. */
    static String chunk(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        return Integer.toHexString(length) + "\r\n" + text + "\r\n";
    }

    static Map<String, Integer> counts() {
        return new HashMap<>();
    }
}
