package org.wagtaillug.tool;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;

/**
 * What the tool has around it, so that a test can give it something else.
 *
 * @param output where results go
 * @param errors where failures go
 * @param environment the environment variables
 * @param time the present time
 * @param pause lets time pass
 */
record Surroundings(
        PrintStream output, PrintStream errors, Map<String, String> environment, InstantSource time, Pause pause) {
    /** Lets time pass between two questions. */
    interface Pause {
        /** Returns after {@code length}, or sooner when the thread is interrupted. */
        void pause(Duration length);
    }

    static Surroundings ofProcess() {
        return new Surroundings(
                new PrintStream(System.out, true, StandardCharsets.UTF_8),
                new PrintStream(System.err, true, StandardCharsets.UTF_8),
                System.getenv(),
                InstantSource.system(),
                Surroundings::sleep);
    }

    private static void sleep(Duration length) {
        try {
            Thread.sleep(length);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
