import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over blocking sockets, as far as the stand-ins of a review need it. */
final class Http {
    private Http() {}

    /** A request or an answer; header names are in lower case. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            int mark = target().indexOf('?');
            if (mark >= 0) {
                for (String each : target().substring(mark + 1).split("&")) {
                    if (each.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(each.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One connection of a stand-in. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        void answer(int status, String headers, String body) throws IOException {
            answer(status, headers, body.getBytes(StandardCharsets.UTF_8));
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Answers one request. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** Listens on an address; the port may be 0. */
    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        Thread.ofVirtual().start(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread.ofVirtual().start(() -> serve(socket, handler));
                } catch (IOException closed) {
                    return;
                }
            }
        });
        return listener;
    }

    private static void serve(Socket socket, Handler handler) {
        try (socket) {
            Connection connection = new Connection(socket);
            Message request = read(connection.in);
            while (request != null) {
                handler.handle(request, connection);
                if (socket.isClosed() || request.header("connection").equalsIgnoreCase("close")) {
                    return;
                }
                request = read(connection.in);
            }
        } catch (Exception ended) {
            // The peer has closed the connection.
        }
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
        }
        Message head = new Message(line, headers, new byte[0]);
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("the body is incomplete: " + body);
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                body.write(exactly(in, length));
                line(in);
                if (length == 0) {
                    return new Message(line, headers, body.toByteArray());
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? head : new Message(line, headers, exactly(in, Integer.parseInt(length)));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the body is incomplete");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.UTF_8).strip();
            }
            bytes.write(next);
        }
        return null;
    }
}
