package org.wagtaillug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.wagtaillug.standin.http.Json;

/** A test fixture that runs stand-ins on free ports and sends calls to them. */
public final class TestProcess implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final StandInProcess process;
    private final List<HttpClient> clients = new ArrayList<>();
    private final HttpClient client = newClient();

    private TestProcess(StandInProcess process) {
        this.process = process;
    }

    /** Starts stand-ins, each given as a YAML layout entry without a port. */
    public static TestProcess start(String... entries) throws IOException {
        StringBuilder layout = new StringBuilder("region: r\nstandins:\n");
        for (String entry : entries) {
            layout.append("  - {port: 0, ").append(entry).append("}\n");
        }
        Path file = Files.createTempFile("layout", ".yaml");
        Files.writeString(file, layout);
        Layout read = Layout.read(file).getOrElseThrow(problem -> new AssertionError(problem));
        Files.delete(file);
        return new TestProcess(StandInProcess.start(read));
    }

    /** Polls until a condition is true. */
    public static void until(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within the time-out");
            }
        }
    }

    /** Returns a client with its own connections. */
    public HttpClient newClient() {
        HttpClient created =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        clients.add(created);
        return created;
    }

    public int port(String name) {
        return process.port(name);
    }

    public HttpRequest request(String name, String method, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(name) + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }

    public HttpResponse<String> call(String name, String method, String path, String body, String... headers)
            throws Exception {
        return client.send(request(name, method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> send(
            String name, String method, String path, String body, String... headers) {
        return client.sendAsync(request(name, method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public JsonNode json(String name, String method, String path, String body, String... headers) throws Exception {
        return Json.mapper().readTree(call(name, method, path, body, headers).body());
    }

    public JsonNode get(String name, String path) throws Exception {
        return json(name, "GET", path, "");
    }

    public JsonNode fault(String name, String body) throws Exception {
        return json(name, "POST", "/faults", body);
    }

    /** Opens a connection and sends a request without reading the answer. */
    public Socket open(String name, String method, String path, String body) throws IOException {
        Socket socket = new Socket("127.0.0.1", port(name));
        write(socket, method, path, body);
        return socket;
    }

    public static void write(Socket socket, String method, String path, String body) throws IOException {
        String text =
                method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    @Override
    public void close() {
        for (HttpClient one : clients) {
            one.shutdownNow();
        }
        process.close();
    }
}
