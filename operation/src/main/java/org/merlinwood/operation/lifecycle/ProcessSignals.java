package org.merlinwood.operation.lifecycle;

import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Installs handlers of SIGTERM, SIGINT and SIGHUP. Stateless.
 *
 * <p>{@code sun.misc.Signal} is the JDK's only API for signals. It is called by reflection because the compiler warns
 * about every direct use, and warnings fail the build. A shutdown hook is no alternative: it can't distinguish a second
 * signal from the first, and the log handlers are closed while it runs.
 */
final class ProcessSignals {

    private static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");
    private static final List<String> RELOAD_SIGNALS = List.of("HUP");

    private ProcessSignals() {}

    /** Calls the handler on a thread of the JDK for each SIGTERM and SIGINT. */
    static void onTermination(Runnable handler) {
        handle(TERMINATION_SIGNALS, handler);
    }

    /**
     * Calls the handler on a thread of the JDK for each SIGHUP.
     *
     * @return false if the signal was ignored when the process was started, so that the JDK installed no handler
     */
    static boolean onReload(Runnable handler) {
        return handle(RELOAD_SIGNALS, handler);
    }

    private static boolean handle(List<String> names, Runnable handler) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (self, method, arguments) -> {
                        handler.run();
                        return null;
                    });
            Object ignoring = handlerType.getField("SIG_IGN").get(null);
            boolean handled = true;
            for (String name : names) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                Object previous =
                        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, proxy);
                handled &= !ignoring.equals(previous);
            }
            return handled;
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("this Java runtime does not support sun.misc.Signal", exception);
        }
    }
}
