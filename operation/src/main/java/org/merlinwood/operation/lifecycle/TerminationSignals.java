package org.merlinwood.operation.lifecycle;

import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Handles SIGTERM and SIGINT.
 *
 * <p>The JDK's only interface to signals lies in a package that the compiler always warns of, so it is called by
 * reflection. A shutdown hook would not do: it can't tell a second signal from the first, and the log handlers are
 * closed while it runs. Stateless.
 */
final class TerminationSignals {

    private static final List<String> NAMES = List.of("TERM", "INT");

    private TerminationSignals() {}

    /** Calls the handler on a thread of the JDK each time that one of the signals arrives. */
    static void handle(Runnable handler) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (self, method, arguments) -> {
                        handler.run();
                        return null;
                    });
            for (String name : NAMES) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, proxy);
            }
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("this runtime offers no handling of signals", exception);
        }
    }
}
