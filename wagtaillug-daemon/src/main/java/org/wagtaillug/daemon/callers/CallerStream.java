package org.wagtaillug.daemon.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * Writes server-sent events without blocking: one write at a time, what comes meanwhile goes out together with the next.
 */
final class CallerStream {
    private final Content.Sink sink;
    private final Callback whole;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean writing;
    private boolean ending;
    private boolean ended;

    /**
     * Wraps a response whose head is set.
     *
     * @param sink the response
     * @param whole completed when the last byte is out, failed when the caller is gone
     */
    CallerStream(Content.Sink sink, Callback whole) {
        this.sink = sink;
        this.whole = whole;
    }

    /** Sends one event; {@code name} is empty for the default one. */
    synchronized void event(String name, String data) {
        if (ending) {
            return;
        }
        append(name, data);
        writeNext();
    }

    /** Sends the last event. */
    synchronized void end(String name, String data) {
        if (ending) {
            return;
        }
        append(name, data);
        ending = true;
        writeNext();
    }

    private void append(String name, String data) {
        if (!name.isEmpty()) {
            pending.writeBytes(("event: " + name + "\n").getBytes(StandardCharsets.UTF_8));
        }
        pending.writeBytes(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    private void writeNext() {
        boolean nothing = pending.size() == 0 && !ending;
        if (writing || ended || nothing) {
            return;
        }
        ByteBuffer bytes = ByteBuffer.wrap(pending.toByteArray());
        pending.reset();
        writing = true;
        ended = ending;
        boolean last = ended;
        sink.write(last, bytes, Callback.from(() -> written(last), this::failed));
    }

    private synchronized void written(boolean last) {
        writing = false;
        if (last) {
            whole.succeeded();
            return;
        }
        writeNext();
    }

    private synchronized void failed(Throwable cause) {
        ending = true;
        if (!ended) {
            ended = true;
        }
        whole.failed(cause);
    }
}
