package org.wagtaillug.daemon.routed;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An upstream may crash in the middle of an event. A partial event that was already forwarded could not be withdrawn
 * when another upstream resumes after the last complete one; the caller would see a torn or duplicated part.
 */
final class EventSplitter {
    /** Maximum length of one event, in bytes. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final String ID_PREFIX = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastEventId = Optional.empty();
    private boolean lineEmpty = true;

    /** Appends bytes; returns all events that are complete now, or an empty array. */
    byte[] append(ByteBuffer bytes) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            partial.write(next);
            if (next == '\r') {
                continue;
            }
            boolean endsEvent = next == '\n' && lineEmpty;
            lineEmpty = next == '\n';
            if (endsEvent) {
                byte[] event = partial.toByteArray();
                partial.reset();
                complete.writeBytes(event);
                recordId(event);
            }
        }
        return complete.toByteArray();
    }

    private void recordId(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
            String id = line.startsWith(ID_PREFIX)
                    ? line.substring(ID_PREFIX.length()).strip()
                    : "";
            if (!id.isEmpty()) {
                lastEventId = Optional.of(id);
            }
        }
    }

    /** Id of the last complete event that has one. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Whether the incomplete last event is longer than an event may be. */
    boolean tooLong() {
        return partial.size() > MAX_EVENT_BYTES;
    }

    /** Whether the last event is complete. */
    boolean atBoundary() {
        return partial.size() == 0;
    }

    /** Returns the bytes of the incomplete last event and discards them. */
    byte[] rest() {
        byte[] rest = partial.toByteArray();
        partial.reset();
        return rest;
    }
}
