package org.wagtaillug.daemon.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * Writes server-sent events without blocking. Writes one buffer at a time; events that are added in the meantime are
 * written together with the next buffer.
 */
final class CallerStream {
    private final Content.Sink sink;
    private final Callback completion;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean writing;
    private boolean ending;
    private boolean ended;

    /**
     * Creates a stream on a response whose header is set.
     *
     * @param sink the response
     * @param completion completed when the last byte is written, failed when the caller has disconnected
     */
    CallerStream(Content.Sink sink, Callback completion) {
        this.sink = sink;
        this.completion = completion;
    }

    /** Sends one event; {@code name} is empty for the default event type. */
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
        boolean nothingToWrite = pending.size() == 0 && !ending;
        if (writing || ended || nothingToWrite) {
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
            completion.succeeded();
            return;
        }
        writeNext();
    }

    private synchronized void failed(Throwable cause) {
        ending = true;
        if (!ended) {
            ended = true;
        }
        completion.failed(cause);
    }
}
