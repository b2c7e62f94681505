package org.wagtaillug.tool;

import org.wagtaillug.logging.LogSetup;

/** Starts {@code wagtaillugctl}. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and ends the process with its exit code: 0 success; 1 failure, refusal or unknown outcome; 2 invalid
     * usage.
     */
    public static void main(String[] arguments) {
        LogSetup.jsonLines(System.err, System.Logger.Level.ERROR);
        System.exit(new Tool(ToolEnvironment.ofProcess()).run(arguments));
    }
}
