package org.merlinwood.operation.lifecycle;

import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Handles SIGTERM, SIGINT and SIGHUP.
 *
 * <p>The JDK's only interface to signals lies in a package that the compiler always warns of, so it is called by
 * reflection. A shutdown hook would not do: it can't tell a second signal from the first, and the log handlers are
 * closed while it runs. Stateless.
 */
final class ProcessSignals {

    private static final List<String> TERMINATION = List.of("TERM", "INT");
    private static final List<String> RELOAD = List.of("HUP");

    private ProcessSignals() {}

    /** Calls the handler on a thread of the JDK each time that the process is told to end. */
    static void onTermination(Runnable handler) {
        handle(TERMINATION, handler);
    }

    /** Calls the handler on a thread of the JDK each time that the settings are said to have changed. */
    static void onReload(Runnable handler) {
        handle(RELOAD, handler);
    }

    private static void handle(List<String> names, Runnable handler) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (self, method, arguments) -> {
                        handler.run();
                        return null;
                    });
            for (String name : names) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, proxy);
            }
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("this runtime offers no handling of signals", exception);
        }
    }
}
