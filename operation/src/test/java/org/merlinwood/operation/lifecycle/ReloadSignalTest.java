package org.merlinwood.operation.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** SIGHUP requests a reload of the settings; it must not end the process. */
final class ReloadSignalTest {

    @Test
    void hangUpSignalCallsHandlerWithoutEndingProcess() throws Exception {
        Semaphore calls = new Semaphore(0);
        ProcessLifecycle.onEachReload(calls::release);
        for (int number = 0; number < 2; number++) {
            raise("HUP");
            assertThat(calls.tryAcquire(2, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Called by reflection because the compiler warns about direct uses of {@code sun.misc.Signal}. */
    private static void raise(String name) throws ReflectiveOperationException {
        Class<?> type = Class.forName("sun.misc.Signal");
        Object signal = type.getConstructor(String.class).newInstance(name);
        type.getMethod("raise", type).invoke(null, signal);
    }
}
