import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the review's scripts share: stand-ins of the platform's store, of servers and of clients, and the start of nodes
 * with the run line of the deploy file. Only loopback addresses are used.
 */
class Rig implements AutoCloseable {
    static final Path ROOT = Path.of(System.getProperty("root"));
    static final Path CASE = Path.of(System.getProperty("case"));
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final long BEGUN = System.nanoTime();

    final Path directory;
    final Store store;
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    final List<Server> servers = new CopyOnWriteArrayList<>();
    private final StringBuilder record = new StringBuilder();

    Rig() throws IOException {
        directory = Files.createTempDirectory("review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static double seconds() {
        return (System.nanoTime() - BEGUN) / 1e9;
    }

    static void pause(double millis) {
        try {
            TimeUnit.MICROSECONDS.sleep(Math.round(millis * 1000));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread run(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Adds a line to record.txt. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.append(line).append('\n');
        }
    }

    /** Writes record.txt, ends all processes and exits. */
    void end(int code, String verdict) {
        note("%s (exit code %d, TROUBLE=%s)", verdict, code, TROUBLE ? "1" : "0");
        System.out.println(verdict);
        try {
            Files.writeString(CASE.resolve("record.txt"), record.toString());
        } catch (IOException unwritable) {
            System.err.println("record.txt: " + unwritable);
        }
        Runtime.getRuntime().exit(code);
    }

    @Override
    public void close() {
        nodes.forEach(node -> node.process.destroyForcibly());
        try (var files = Files.walk(directory)) {
            files.sorted((one, other) -> other.compareTo(one)).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // The directory has been deleted before.
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- messages

    /** A request or an answer: its first line, its headers with lower-case names, its body. */
    static final class Message {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            String[] words = line.split(" ");
            return words.length < 2 || !words[1].matches("[0-9]{3}") ? 0 : Integer.parseInt(words[1]);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.UTF_8).replace("\r", "");
            }
            line.write(next);
        }
    }

    /** Reads the head of a message; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.line = first;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return message;
    }

    static void readBody(Message message, InputStream in, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String coding = message.header("transfer-encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    break;
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                byte[] part = in.readNBytes(length);
                body.writeBytes(part);
                if (part.length < length || readLine(in) == null) {
                    break;
                }
                if (length == 0) {
                    message.complete = true;
                    break;
                }
            }
        } else if (message.header("content-length") != null) {
            int length = Integer.parseInt(message.header("content-length"));
            body.writeBytes(in.readNBytes(length));
            message.complete = body.size() == length;
        } else {
            if (answer) {
                body.writeBytes(in.readAllBytes());
            }
            message.complete = true;
        }
        message.body = body.toByteArray();
    }

    static byte[] answer(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** A listener with a thread for each connection. */
    abstract static class Listener {
        final ServerSocket socket;
        final List<Socket> open = new CopyOnWriteArrayList<>();

        Listener(String host) throws IOException {
            socket = new ServerSocket(0, 200, InetAddress.getByName(host));
            Rig.run(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    Rig.run(() -> {
                        try (connection) {
                            serve(connection);
                        } catch (IOException | RuntimeException ended) {
                            // The connection has ended.
                        } finally {
                            open.remove(connection);
                        }
                    });
                } catch (IOException closed) {
                    return;
                }
            }
        }

        abstract void serve(Socket connection) throws IOException;
    }

    // ---------------------------------------------------------------- the platform's store

    static final class Store extends Listener {
        private final Map<String, List<Entry>> topics = new HashMap<>();

        record Entry(String key, byte[] value) {}

        Store() throws IOException {
            super("127.0.0.1");
        }

        synchronized void put(String topic, String key, String value) {
            topic(topic).add(new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        private List<Entry> topic(String name) {
            return topics.computeIfAbsent(name, ignored -> new ArrayList<>());
        }

        @Override
        void serve(Socket connection) throws IOException {
            InputStream in = new java.io.BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Message request = readHead(in); request != null; request = readHead(in)) {
                readBody(request, in, false);
                String target = request.line.split(" ")[1];
                Map<String, String> query = new HashMap<>();
                int mark = target.indexOf('?');
                if (mark >= 0) {
                    for (String pair : target.substring(mark + 1).split("&")) {
                        String[] parts = pair.split("=", 2);
                        query.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
                    }
                }
                String path = mark < 0 ? target : target.substring(0, mark);
                pause(4);
                out.write(switch (path) {
                    case "/api/log-newest" -> newest(query);
                    case "/api/log-read" -> read(query);
                    case "/api/log-append" -> append(query, request.body);
                    default -> Rig.answer(404, Map.of(), new byte[0]);
                });
                out.flush();
            }
        }

        private synchronized byte[] newest(Map<String, String> query) {
            List<Entry> records = topic(query.get("Topic"));
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int offset = 0; offset < records.size(); offset++) {
                newest.put(records.get(offset).key(), offset);
            }
            newest.values().removeIf(offset -> records.get(offset).value().length == 0);
            StringBuilder items = new StringBuilder();
            newest.forEach((key, offset) -> {
                String value = Base64.getEncoder().encodeToString(records.get(offset).value());
                if (query.get("After") == null || key.compareTo(query.get("After")) > 0) {
                    items.append(items.isEmpty() ? "" : ",").append("{\"Key\":\"" + key + "\",\"Value\":\"" + value
                            + "\",\"Offset\":" + offset + "}");
                }
            });
            return json("{\"Items\":[" + items + "],\"HasMore\":false,\"End\":" + records.size() + "}");
        }

        private static byte[] json(String text) {
            return Rig.answer(200, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
        }

        private synchronized byte[] read(Map<String, String> query) throws IOException {
            List<Entry> records = topic(query.get("Topic"));
            int from = Integer.parseInt(query.get("From"));
            long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
            while (records.size() <= from && System.currentTimeMillis() < until) {
                try {
                    wait(Math.max(1, until - System.currentTimeMillis()));
                } catch (InterruptedException interrupted) {
                    throw new IOException(interrupted);
                }
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(records.size());
            out.writeLong(0);
            for (int offset = from; offset < records.size(); offset++) {
                byte[] key = records.get(offset).key().getBytes(StandardCharsets.UTF_8);
                byte[] value = records.get(offset).value();
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
            return Rig.answer(200, Map.of(), bytes.toByteArray());
        }

        private synchronized byte[] append(Map<String, String> query, byte[] body) {
            List<Entry> records = topic(query.get("Topic"));
            if (query.get("Topic").equals("keyed.op") || query.get("Topic").equals("keyed.servers")) {
                return Rig.answer(403, Map.of(), new byte[0]);
            }
            if (query.get("At") != null && Long.parseLong(query.get("At")) != records.size()) {
                byte[] end = ("{\"End\":" + records.size() + "}").getBytes(StandardCharsets.UTF_8);
                return Rig.answer(412, Map.of("Content-Type", "application/json"), end);
            }
            int first = records.size();
            ByteBuffer buffer = ByteBuffer.wrap(body);
            while (buffer.hasRemaining()) {
                byte[] content = new byte[buffer.getInt()];
                buffer.get(content);
                int length = content[0] & 0xff;
                records.add(new Entry(
                        new String(content, 1, length, StandardCharsets.UTF_8),
                        java.util.Arrays.copyOfRange(content, 1 + length, content.length)));
            }
            notifyAll();
            return json("{\"Offset\":" + first + ",\"End\":" + records.size() + "}");
        }
    }

    // ---------------------------------------------------------------- servers

    /** A server: answers 421 if another one is expected, keeps its entry in the store fresh. */
    abstract class Server extends Listener {
        final String id;
        final String service;
        final String zone;
        final long born = System.currentTimeMillis();
        final AtomicInteger running = new AtomicInteger();
        volatile boolean listed = true;

        Server(String id, String service, String zone) throws IOException {
            super("127.0.0.1");
            this.id = id;
            this.service = service;
            this.zone = zone;
            servers.add(this);
            Rig.run(() -> {
                for (int number = 1; listed; number++) {
                    store.put("keyed.servers", id, "{\"Service\":\"" + service + "\",\"Address\":\"" + address()
                            + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":" + slots()
                            + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":" + number + ",\"born\":" + born + "}");
                    pause(1200);
                }
            });
        }

        int slots() {
            return 64;
        }

        /** Called when the head of a request is there, before anything else. */
        void onHead(Socket connection, OutputStream out) throws IOException {}

        @Override
        void serve(Socket connection) throws IOException {
            InputStream in = new java.io.BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Message request = readHead(in); request != null; request = readHead(in)) {
                onHead(connection, out);
                readBody(request, in, false);
                if (!request.complete) {
                    return;
                }
                String expected = request.header("X-Wagtaillug-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(Rig.answer(421, Map.of("X-Wagtaillug-Instance-Id", id), new byte[0]));
                    out.flush();
                    continue;
                }
                handle(request, connection, out);
                out.flush();
                if ("close".equalsIgnoreCase(request.header("Connection"))) {
                    return;
                }
            }
        }

        abstract void handle(Message request, Socket connection, OutputStream out) throws IOException;

        /** The headers of all answers to a request. */
        Map<String, String> head(Message request) {
            Map<String, String> head = new LinkedHashMap<>();
            if (request.header("X-Wagtaillug-Attempt-Id") != null) {
                head.put("X-Wagtaillug-Attempt-Id", request.header("X-Wagtaillug-Attempt-Id"));
            }
            head.put("X-Wagtaillug-Server-Seal", "3e1b.07." + id);
            head.put("X-Wagtaillug-Server-Load", running.get() + ",0," + slots());
            return head;
        }
    }

    /** What a result was made for. */
    record Made(String request, int stage, int piece) {
        @Override
        public String toString() {
            return "request " + request + " stage " + stage + " piece " + piece;
        }
    }

    /** The results that exist at stage servers, and all that were ever made. */
    final Map<String, Made> made = new ConcurrentHashMap<>();

    final Map<String, Made> existing = new ConcurrentHashMap<>();
    private final AtomicLong lastHandle = new AtomicLong(System.nanoTime());

    /** A server of a stage: one call at a time, two wait. */
    class StageServer extends Server {
        private static final Pattern ITEM =
                Pattern.compile("\\{[^{}]*\"Id\":\"([^\"]*)\"[^{}]*\"Stage\":([0-9]+)[^{}]*\"Piece\":([0-9]+)[^{}]*\\}");
        private final double callMillis;
        private final double itemMillis;
        private final java.util.concurrent.Semaphore slot = new java.util.concurrent.Semaphore(1, true);

        StageServer(String id, String service, String zone, double callMillis, double itemMillis) throws IOException {
            super(id, service, zone);
            this.callMillis = callMillis;
            this.itemMillis = itemMillis;
        }

        @Override
        int slots() {
            return 1;
        }

        /** Called with each answer that was written. */
        void onAnswered(Socket connection, byte[] answer) {}

        @Override
        void handle(Message request, Socket connection, OutputStream out) throws IOException {
            Map<String, String> head = new LinkedHashMap<>(head(request));
            head.put("Content-Type", "application/json");
            if (request.line.contains("/api/stage-free")) {
                Matcher handles = Pattern.compile("\"([^\"]*:[0-9]+/[^\"]*)\"").matcher(request.text());
                while (handles.find()) {
                    existing.remove(handles.group(1));
                }
                out.write(Rig.answer(200, head, new byte[0]));
                return;
            }
            if (!request.line.contains("/api/stage-run")) {
                out.write(Rig.answer(200, head, "{\"Waiting\":0,\"Busy\":0,\"FreeMb\":30}".getBytes()));
                return;
            }
            if (slot.getQueueLength() >= 2) {
                head.put("X-Wagtaillug-Not-Executed", "1");
                out.write(Rig.answer(503, head, new byte[0]));
                return;
            }
            List<Made> items = new ArrayList<>();
            Matcher found = ITEM.matcher(request.text());
            while (found.find()) {
                items.add(new Made(found.group(1), Integer.parseInt(found.group(2)), Integer.parseInt(found.group(3))));
            }
            slot.acquireUninterruptibly();
            running.incrementAndGet();
            try {
                pause(callMillis + itemMillis * items.size());
            } finally {
                running.decrementAndGet();
                slot.release();
            }
            StringBuilder answers = new StringBuilder();
            for (Made item : items) {
                String handle = address() + "/" + Long.toHexString(lastHandle.incrementAndGet());
                made.put(handle, item);
                existing.put(handle, item);
                note("%s made %s for %s", id, handle, item);
                answers.append(answers.isEmpty() ? "" : ",").append("{\"Handle\":\"" + handle + "\"}");
            }
            byte[] answer = Rig.answer(200, head, ("{\"Items\":[" + answers + "]}").getBytes(StandardCharsets.UTF_8));
            onAnswered(connection, answer);
            out.write(answer);
        }
    }

    // ---------------------------------------------------------------- nodes

    final class Node {
        final String host;
        final String zone;
        final int front;
        final int ready;
        final Path settings;
        final Path log;
        Process process;

        /** Prepares a node; all nodes use the same ports for one another. */
        Node(String host, String zone, int linkPort, int tunnelPort, List<String> seeds) throws IOException {
            this.host = host;
            this.zone = zone;
            front = freePort(host);
            ready = freePort(host);
            settings = directory.resolve("settings-" + host + ".yaml");
            log = directory.resolve("log-" + host + ".txt");
            StringBuilder seedLines = new StringBuilder();
            seeds.forEach(seed -> seedLines.append("  - \"" + seed + "\"\n"));
            Files.writeString(settings, "node:\n  vm: \"" + host + "\"\n  name: \"edge-" + host + "\"\n  domain: \"" + zone
                    + "\"\nlisten:\n  callers: \"" + host + ":" + front + "\"\n  readiness: \"" + host + ":" + ready
                    + "\"\n  administration: \"" + host + ":" + freePort(host) + "\"\n  link: \"" + host + ":" + linkPort
                    + "\"\n  tunnels: \"" + host + ":" + tunnelPort + "\"\nstore: \"" + store.address() + "\"\nseeds:"
                    + (seeds.isEmpty() ? " []\n" : "\n" + seedLines)
                    + "processor:\n  share: 0.75\n  speed: 1\n"
                    + "repeats:\n  window: \"10s\"\n  ratio: 0.2\n  fixed: 56\ncold_upstreams:\n  ratio: 1.5\n  fixed: 5\n"
                    + "agreements: [base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages]\n"
                    + "shutdown_grace: \"8s\"\n");
            nodes.add(this);
        }

        /** Starts the program with the run line of the deploy file. */
        Node start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no run line");
            }
            List<String> words = new ArrayList<>();
            for (String word : run.group(1).split(" ")) {
                words.add(word.equals("/etc/wagtaillug/settings.yaml") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(words).directory(ROOT.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().removeIf(name -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
            builder.environment().put("WAGTAILLUG_BOOT", settings.toString());
            process = builder.start();
            return this;
        }

        boolean isReady() {
            Outcome outcome = get(host, ready, "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000);
            return outcome.status == 200;
        }

        void awaitReady() {
            for (int tries = 0; tries < 300; tries++) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("node " + host + " has ended");
                }
                if (isReady()) {
                    return;
                }
                pause(100);
            }
            throw new IllegalStateException("node " + host + " was not ready within 30 s");
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    // ---------------------------------------------------------------- clients

    /** What a client has seen of one attempt. */
    static final class Outcome {
        int status;
        boolean complete;
        String failure = "";
        Message answer = new Message();

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + failure + ")" : status + (complete ? "" : " cut") + failure;
        }
    }

    /** Sends a request on a new connection and reads the answer, for a time at most. */
    static Outcome get(String host, int port, String request, int millis) {
        return send(host, port, request.getBytes(StandardCharsets.UTF_8), millis);
    }

    static Outcome send(String host, int port, byte[] request, int millis) {
        Outcome outcome = new Outcome();
        long end = System.currentTimeMillis() + millis;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(1000, millis));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Math.max(1, end - System.currentTimeMillis()));
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Message answer = readHead(in);
            if (answer == null) {
                outcome.failure = "closed";
                return outcome;
            }
            outcome.answer = answer;
            outcome.status = answer.status();
            readBody(answer, in, true);
            outcome.complete = answer.complete;
        } catch (java.net.SocketTimeoutException late) {
            outcome.failure = "not answered in " + millis + " ms";
        } catch (IOException failed) {
            outcome.failure = String.valueOf(failed.getMessage());
        }
        return outcome;
    }
}
