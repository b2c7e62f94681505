package org.wagtaillug.logging;

import java.util.concurrent.TimeUnit;

/** A process that logs a line some time after its end has begun. */
final class LoggingWhileEnding {
    /** Long enough for the runtime's own hooks, which run beside ours, to be over. */
    private static final long HOOKS_ARE_OVER_MILLIS = 500;

    private LoggingWhileEnding() {}

    public static void main(String[] arguments) {
        LogSetup.jsonLines(System.out, System.Logger.Level.INFO);
        System.Logger logger = System.getLogger("example");
        logger.log(System.Logger.Level.INFO, "runs");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(logger)));
    }

    private static void drain(System.Logger logger) {
        try {
            TimeUnit.MILLISECONDS.sleep(HOOKS_ARE_OVER_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        logger.log(System.Logger.Level.INFO, "drained");
    }
}
