package org.wagtaillug.tool;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;

/**
 * The process environment of the tool; tests replace it.
 *
 * @param output the stream for results
 * @param errors the stream for error messages
 * @param variables the environment variables
 * @param clock the clock
 * @param sleeper delays the calling thread
 */
record ToolEnvironment(
        PrintStream output, PrintStream errors, Map<String, String> variables, InstantSource clock, Sleeper sleeper) {
    /** Delays the calling thread between two polls. */
    interface Sleeper {
        /** Returns after the given duration, or earlier if the thread is interrupted. */
        void sleep(Duration duration);
    }

    static ToolEnvironment ofProcess() {
        return new ToolEnvironment(
                new PrintStream(System.out, true, StandardCharsets.UTF_8),
                new PrintStream(System.err, true, StandardCharsets.UTF_8),
                System.getenv(),
                InstantSource.system(),
                ToolEnvironment::sleep);
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
