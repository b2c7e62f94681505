package org.wagtaillug.tool.account;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Reads log files line by line into {@link RequestStatistics}, whatever they contain: other lines are only counted, and no
 * line is kept in memory after it has been processed.
 */
final class LogFileReader {
    /** Longer lines are not decisions: the lines that a node writes are shorter than two kilobytes. */
    private static final int MAX_LINE_BYTES = 65_536;

    private static final int BUFFER_BYTES = 1 << 16;

    private final RequestStatistics statistics;
    private final ObjectMapper json = new ObjectMapper();
    private long lines;
    private long otherLines;
    private long malformedLines;

    LogFileReader(RequestStatistics statistics) {
        this.statistics = statistics;
    }

    /**
     * Reads one file.
     *
     * @throws IOException if the file cannot be opened or read
     */
    void read(Path file) throws IOException {
        try (InputStream bytes = new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES)) {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            boolean tooLong = false;
            for (int next = bytes.read(); next >= 0; next = bytes.read()) {
                if (next == '\n') {
                    processLine(line, tooLong);
                    tooLong = false;
                } else if (line.size() < MAX_LINE_BYTES) {
                    line.write(next);
                } else {
                    tooLong = true;
                }
            }
            if (line.size() > 0) {
                processLine(line, tooLong);
            }
        }
    }

    private void processLine(ByteArrayOutputStream bytes, boolean tooLong) {
        lines++;
        String text = bytes.toString(StandardCharsets.UTF_8);
        bytes.reset();
        // A log collector may prefix each line with the time or the node.
        int start = text.indexOf('{');
        if (tooLong || start < 0) {
            otherLines++;
            return;
        }
        try {
            JsonNode object = json.readTree(text.substring(start));
            Optional<DecisionLine> decision = DecisionLine.of(object);
            decision.ifPresentOrElse(statistics::onDecision, () -> otherLines++);
        } catch (JsonProcessingException malformed) {
            malformedLines++;
        }
    }

    long lines() {
        return lines;
    }

    /** The number of lines that are not decisions. */
    long otherLines() {
        return otherLines;
    }

    /** The number of lines that contain malformed JSON, such as the last line of a truncated file. */
    long malformedLines() {
        return malformedLines;
    }
}
