package org.wagtaillug.logging;

import java.util.logging.LogManager;

/**
 * Keeps logging while the process ends.
 *
 * <p>The JDK's manager closes all handlers in a shutdown hook, beside the hook that lets the node finish its requests; every
 * line of the drain would be lost, among them why a request was cut. Each line is written through, so there is nothing to
 * close.
 */
public final class LastingLogManager extends LogManager {
    /** Made by the JDK, by name. */
    public LastingLogManager() {}

    /** Keeps the handlers. */
    @Override
    public void reset() {}
}
