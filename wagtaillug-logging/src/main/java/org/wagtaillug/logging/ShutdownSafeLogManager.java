package org.wagtaillug.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open during the shutdown of the process.
 *
 * <p>The log manager of the JDK closes all handlers in a shutdown hook, which runs concurrently with the hook in which the
 * node drains its requests. All lines of the drain would be lost, among them the reasons why requests were cut off. Handlers
 * flush every line, so they need not be closed.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Called by the JDK, which instantiates the class by its name. */
    public ShutdownSafeLogManager() {}

    /** Does nothing, so that the handlers stay open. */
    @Override
    public void reset() {}
}
