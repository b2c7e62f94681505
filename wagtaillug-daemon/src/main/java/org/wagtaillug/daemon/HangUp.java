package org.wagtaillug.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Takes the hang-up signal as the word that settings have changed.
 *
 * <p>Without a handler the runtime ends the process at this signal, and with it every request under way. The runtime's
 * interface for signals is not part of the platform API, so it is reached by name; a runtime that lacks it keeps its way.
 */
final class HangUp {
    private static final Logger LOGGER = System.getLogger(HangUp.class.getName());

    private HangUp() {}

    static void handle(ProcessRun.Life life) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reload = Proxy.newProxyInstance(
                    HangUp.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        return method.getName().equals("handle") ? reload(life) : method.invoke(life, arguments);
                    });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, reload);
        } catch (ReflectiveOperationException | IllegalArgumentException missing) {
            LOGGER.log(Level.WARNING, "the hang-up signal will end this process: {0}", missing);
        }
    }

    private static Object reload(ProcessRun.Life life) {
        try {
            life.reload();
        } catch (Exception fault) {
            LOGGER.log(Level.ERROR, "the settings were not read again; the old ones hold", fault);
        }
        return null;
    }
}
