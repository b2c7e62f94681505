import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String host, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its whole answer. */
    Http.Message send(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
