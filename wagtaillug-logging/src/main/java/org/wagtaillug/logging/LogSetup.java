package org.wagtaillug.logging;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Configures the logging of the process; must be called before anything is logged.
 *
 * <pre>{@code
 * LogSetup.jsonLines(System.out, System.Logger.Level.INFO);
 * }</pre>
 *
 * <p>{@code System.Logger} is backed by {@code java.util.logging}, which is ready 20 ms after the start of a process. A
 * logging library with configuration files, plug-ins and templates took 400 ms of CPU time, a third of the startup of a
 * node.
 */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    /** Libraries whose log lines below the level of warnings are of no use to operators. */
    private static final List<String> WARNING_ONLY = List.of("org.eclipse.jetty", "io.netty");

    /** Strong references to loggers whose level was set: the JDK refers to them weakly, and a level is lost with its logger. */
    private static final List<Logger> RETAINED = new ArrayList<>();

    /** Whether the current thread is writing lines that are flushed together. */
    private static final ThreadLocal<Boolean> FLUSH_DEFERRED = ThreadLocal.withInitial(() -> false);

    private static volatile Runnable flush = () -> {};

    private LogSetup() {}

    /** Runs a task and flushes the lines that it logs on this thread once at its end, instead of line by line. */
    public static void withSingleFlush(Runnable task) {
        FLUSH_DEFERRED.set(true);
        try {
            task.run();
        } finally {
            FLUSH_DEFERRED.set(false);
            flush.run();
        }
    }

    /** Writes all log lines of at least a level to a stream, each as one JSON object. */
    public static void jsonLines(OutputStream out, System.Logger.Level level) {
        // The JDK reads this property when the first logger is created.
        System.setProperty(MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler previous : root.getHandlers()) {
            root.removeHandler(previous);
        }
        Handler handler = new FlushingHandler(out);
        flush = handler::flush;
        root.addHandler(handler);
        root.setLevel(julLevel(level));
        for (String name : WARNING_ONLY) {
            Logger logger = Logger.getLogger(name);
            logger.setLevel(Level.WARNING);
            RETAINED.add(logger);
        }
    }

    private static Level julLevel(System.Logger.Level level) {
        return switch (level) {
            case ALL -> Level.ALL;
            case TRACE -> Level.FINER;
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
            case OFF -> Level.OFF;
        };
    }

    private static final class FlushingHandler extends StreamHandler {
        private FlushingHandler(OutputStream out) {
            super(out, new JsonLineFormatter());
            setLevel(Level.ALL);
        }

        /** Flushes each line, because the process may be killed at any time. */
        @Override
        public synchronized void publish(LogRecord logRecord) {
            super.publish(logRecord);
            if (!FLUSH_DEFERRED.get()) {
                flush();
            }
        }
    }
}
