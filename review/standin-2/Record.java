import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        out.println(String.format(Locale.ROOT, "%6d  %s", millis(), text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
