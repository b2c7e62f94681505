package org.wagtaillug.logging;

import java.util.concurrent.TimeUnit;

/** A process that logs a line some time after the start of its shutdown. */
final class LoggingDuringShutdown {
    /** Long enough for the concurrent shutdown hooks of the JDK to finish. */
    private static final long JDK_HOOKS_MILLIS = 500;

    private LoggingDuringShutdown() {}

    public static void main(String[] arguments) {
        LogSetup.jsonLines(System.out, System.Logger.Level.INFO);
        System.Logger logger = System.getLogger("example");
        logger.log(System.Logger.Level.INFO, "runs");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(logger)));
    }

    private static void drain(System.Logger logger) {
        try {
            TimeUnit.MILLISECONDS.sleep(JDK_HOOKS_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        logger.log(System.Logger.Level.INFO, "drained");
    }
}
