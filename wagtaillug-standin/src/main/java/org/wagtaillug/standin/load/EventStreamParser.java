package org.wagtaillug.standin.load;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Parses server-sent events from byte chunks of any size. Not thread-safe. */
final class EventStreamParser {
    private static final String DEFAULT_EVENT = "message";

    private final BiConsumer<String, String> listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String event = DEFAULT_EVENT;

    /**
     * Creates a parser.
     *
     * @param listener receives the name and data of each event
     */
    EventStreamParser(BiConsumer<String, String> listener) {
        this.listener = listener;
    }

    void parse(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                parseLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
                continue;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
    }

    private void parseLine(String text) {
        if (text.isEmpty()) {
            dispatch();
            return;
        }
        int colon = text.indexOf(':');
        if (colon < 1) {
            return;
        }
        String field = text.substring(0, colon);
        String value = text.substring(colon + 1);
        String stripped = value.startsWith(" ") ? value.substring(1) : value;
        if (field.equals("event")) {
            event = stripped;
            return;
        }
        if (field.equals("data")) {
            data.append(data.isEmpty() ? "" : "\n").append(stripped);
        }
    }

    private void dispatch() {
        if (!data.isEmpty()) {
            listener.accept(event, data.toString());
        }
        data.setLength(0);
        event = DEFAULT_EVENT;
    }
}
