package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.DrainPolicy;

/** Guards against requests without an answer at the forced exit, since the answer to another one threw. */
final class ForcedExitGuardTest {

    private static final long GRACE_MILLIS = 8_000;

    @Test
    void requestsAreAnsweredAlthoughTheAnswerToOneThrows() {
        ManualMillisClock clock = new ManualMillisClock(0);
        ManualLoop loop = new ManualLoop(clock);
        DrainPolicy policy = new DrainPolicy(clock, GRACE_MILLIS);
        ForcedExitGuard guard = new ForcedExitGuard(policy, loop);
        AtomicInteger answered = new AtomicInteger();
        guard.add(() -> false, () -> {
            throw new IllegalStateException("thrown by the test");
        });
        guard.add(() -> answered.get() > 0, answered::incrementAndGet);
        policy.start();
        while (policy.millisUntilForcedExit() > 0) {
            try {
                loop.advance(10);
            } catch (IllegalStateException thrown) {
                // The loop of the process logs it and goes on.
            }
        }
        assertThat(answered.get()).isEqualTo(1);
    }
}
