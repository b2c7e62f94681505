package org.wagtaillug.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Reloads the settings when the process receives SIGHUP.
 *
 * <p>Without a handler, the JVM exits at this signal and all open requests are lost. The signal API of the JVM is not
 * part of the platform API, so it is accessed by reflection; on a JVM without it, the default behaviour stays.
 */
final class HangUpSignal {
    private static final Logger LOGGER = System.getLogger(HangUpSignal.class.getName());

    private HangUpSignal() {}

    static void handle(ProcessRun.Lifecycle lifecycle) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reload = Proxy.newProxyInstance(
                    HangUpSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        return method.getName().equals("handle")
                                ? reload(lifecycle)
                                : method.invoke(lifecycle, arguments);
                    });
            Object signalHup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, signalHup, reload);
        } catch (ReflectiveOperationException | IllegalArgumentException unavailable) {
            LOGGER.log(
                    Level.WARNING,
                    "SIGHUP will terminate this process, as the JVM has no signal API: {0}",
                    unavailable);
        }
    }

    private static Object reload(ProcessRun.Lifecycle lifecycle) {
        try {
            lifecycle.reload();
        } catch (Exception fault) {
            LOGGER.log(Level.ERROR, "reloading the settings failed; the running settings stay in force", fault);
        }
        return null;
    }
}
