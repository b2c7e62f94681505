package org.wagtaillug.tool;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** One run of the tool; its pauses move a time of its own. */
record ToolRun(int exitCode, String output, String errors) {
    /** A clock that only pauses move. */
    private static final class ManualTime {
        private Instant now = Instant.EPOCH;

        private void pause(Duration length) {
            now = now.plus(length);
        }

        private Instant now() {
            return now;
        }
    }

    static ToolRun of(String... arguments) {
        return with(Map.of(), arguments);
    }

    static ToolRun with(Map<String, String> environment, String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ManualTime time = new ManualTime();
        Surroundings surroundings = new Surroundings(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                environment,
                time::now,
                time::pause);
        int exitCode = new Tool(surroundings).run(arguments);
        return new ToolRun(exitCode, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    }
}
