package org.merlinwood.operation.lifecycle;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Process of a test that reloads on SIGHUP. It sends itself the signal twice and prints what it sees of it. */
final class ReloadingProcess {

    private static final int SIGNALS = 2;
    private static final long HANDLER_TIMEOUT_SECONDS = 2;

    private ReloadingProcess() {}

    public static void main(String[] arguments) throws Exception {
        Semaphore calls = new Semaphore(0);
        boolean handled = ProcessLifecycle.onEachReload(calls::release);
        System.out.println(handled ? "handled" : "ignored");
        for (int number = 0; handled && number < SIGNALS; number++) {
            raise("HUP");
            System.out.println(calls.tryAcquire(HANDLER_TIMEOUT_SECONDS, TimeUnit.SECONDS) ? "reload" : "no reload");
        }
    }

    /** Called by reflection because the compiler warns about direct uses of {@code sun.misc.Signal}. */
    private static void raise(String name) throws ReflectiveOperationException {
        Class<?> type = Class.forName("sun.misc.Signal");
        Object signal = type.getConstructor(String.class).newInstance(name);
        type.getMethod("raise", type).invoke(null, signal);
    }
}
