package org.wagtaillug.tool;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** One run of the tool with a clock that advances only while the tool sleeps. */
record ToolRun(int exitCode, String output, String errors) {
    /** A clock that only {@link #sleep} advances. */
    private static final class ManualClock {
        private Instant now = Instant.EPOCH;

        private void sleep(Duration duration) {
            now = now.plus(duration);
        }

        private Instant now() {
            return now;
        }
    }

    static ToolRun of(String... arguments) {
        return with(Map.of(), arguments);
    }

    static ToolRun with(Map<String, String> variables, String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ManualClock clock = new ManualClock();
        ToolEnvironment toolEnvironment = new ToolEnvironment(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                variables,
                clock::now,
                clock::sleep);
        int exitCode = new Tool(toolEnvironment).run(arguments);
        return new ToolRun(exitCode, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    }
}
