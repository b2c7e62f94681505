package org.wagtaillug.daemon.routed;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>An upstream may die in the middle of an event. Half an event that is passed on could not be taken back when another
 * upstream goes on after the last whole one, and would show as a torn or doubled piece.
 */
final class EventSplitter {
    private static final String ID = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    private boolean lineEmpty = true;

    /** Takes bytes; gives all events that are whole now, or nothing. */
    byte[] take(ByteBuffer bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (bytes.hasRemaining()) {
            byte each = bytes.get();
            partial.write(each);
            if (each == '\r') {
                continue;
            }
            boolean endsEvent = each == '\n' && lineEmpty;
            lineEmpty = each == '\n';
            if (endsEvent) {
                byte[] event = partial.toByteArray();
                partial.reset();
                whole.writeBytes(event);
                noteId(event);
            }
        }
        return whole.toByteArray();
    }

    private void noteId(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID)) {
                lastId = Optional.of(line.substring(ID.length()).strip());
            }
        }
    }

    /** The id of the last whole event, of those that have one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Whether the last event is whole. */
    boolean atBoundary() {
        return partial.size() == 0;
    }

    /** What came of the last event, and forgets it. */
    byte[] rest() {
        byte[] rest = partial.toByteArray();
        partial.reset();
        return rest;
    }
}
