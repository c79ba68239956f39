package org.merlinwood.following;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;

/**
 * Measures the time from the publication of a revision until it is active at all processes, and the request rate at the
 * service. Prints one JSON line per fleet size. Run manually; all followers run in this process, on loopback.
 */
final class FollowingMeasurement {

    private static final int CHANGES = 20;
    private static final long STEADY_PHASE_MILLIS = 20_000;
    private static final long CHANGE_INTERVAL_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    @ParameterizedTest
    @ValueSource(ints = {8, 32, 128})
    void measure(int size) throws InterruptedException {
        MillisClock clock = SystemMillisClock.shared();
        try (LoopbackFleet fleet = new LoopbackFleet(size)) {
            fleet.publish(1);
            fleet.start();
            requireReached(LoopbackFleet.await(() -> fleet.allAt(new Revisions(1, 1)), TIMEOUT_MILLIS));
            requireReached(LoopbackFleet.await(() -> fleet.readers() <= 6, TIMEOUT_MILLIS));
            long requestsBefore = fleet.service().counts().calls();
            Thread.sleep(STEADY_PHASE_MILLIS);
            double steadyRate =
                    (fleet.service().counts().calls() - requestsBefore) * MILLIS_PER_SECOND / STEADY_PHASE_MILLIS;

            long changesStartMillis = clock.monotonicMillis();
            long requestsBeforeChanges = fleet.service().counts().calls();
            long[] propagationMillis = new long[CHANGES];
            for (int change = 0; change < CHANGES; change++) {
                long startMillis = clock.monotonicMillis();
                long revision = fleet.publish(change + 2);
                requireReached(LoopbackFleet.await(() -> fleet.allAt(new Revisions(revision, 1)), TIMEOUT_MILLIS));
                propagationMillis[change] = clock.monotonicMillis() - startMillis;
                Thread.sleep(CHANGE_INTERVAL_MILLIS);
            }
            double changingRate = (fleet.service().counts().calls() - requestsBeforeChanges)
                    * MILLIS_PER_SECOND
                    / (clock.monotonicMillis() - changesStartMillis);
            Arrays.sort(propagationMillis);
            System.out.printf(
                    "{\"processes\": %d, \"readers\": %d, \"changes\": %d, \"medianMillis\": %d, \"longestMillis\": %d,"
                            + " \"callsPerSecondSteady\": %.2f, \"callsPerSecondChanging\": %.2f}%n",
                    size,
                    fleet.readers(),
                    CHANGES,
                    propagationMillis[CHANGES / 2],
                    propagationMillis[CHANGES - 1],
                    steadyRate,
                    changingRate);
        }
    }

    private static void requireReached(boolean reached) {
        if (!reached) {
            throw new IllegalStateException("condition not reached within " + TIMEOUT_MILLIS + " ms");
        }
    }
}
