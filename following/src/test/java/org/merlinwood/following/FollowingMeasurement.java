package org.merlinwood.following;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;

/**
 * Measures how long a revision takes from publication to force at the last process, and how often the service is
 * called. Prints a JSON line for each size of fleet. Run by hand; all processes share this one and loopback.
 */
final class FollowingMeasurement {

    private static final int CHANGES = 20;
    private static final long STEADY_MILLIS = 20_000;
    private static final long BETWEEN_CHANGES_MILLIS = 500;
    private static final long PATIENCE_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    @ParameterizedTest
    @ValueSource(ints = {8, 32, 128})
    void measure(int size) throws InterruptedException {
        MillisClock clock = SystemMillisClock.shared();
        try (LoopbackFleet fleet = new LoopbackFleet(size)) {
            fleet.publish(1);
            fleet.start();
            requireWithin(LoopbackFleet.await(() -> fleet.allAt(new Revisions(1, 1)), PATIENCE_MILLIS));
            requireWithin(LoopbackFleet.await(() -> fleet.readers() <= 6, PATIENCE_MILLIS));
            long callsBefore = fleet.service().counts().calls();
            Thread.sleep(STEADY_MILLIS);
            double steady = (fleet.service().counts().calls() - callsBefore) * MILLIS_PER_SECOND / STEADY_MILLIS;

            long changesBegin = clock.monotonicMillis();
            long callsBeforeChanges = fleet.service().counts().calls();
            long[] millis = new long[CHANGES];
            for (int change = 0; change < CHANGES; change++) {
                long begin = clock.monotonicMillis();
                long revision = fleet.publish(change + 2);
                requireWithin(LoopbackFleet.await(() -> fleet.allAt(new Revisions(revision, 1)), PATIENCE_MILLIS));
                millis[change] = clock.monotonicMillis() - begin;
                Thread.sleep(BETWEEN_CHANGES_MILLIS);
            }
            double changing = (fleet.service().counts().calls() - callsBeforeChanges)
                    * MILLIS_PER_SECOND
                    / (clock.monotonicMillis() - changesBegin);
            Arrays.sort(millis);
            System.out.printf(
                    "{\"processes\": %d, \"readers\": %d, \"changes\": %d, \"medianMillis\": %d, \"longestMillis\": %d,"
                            + " \"callsPerSecondSteady\": %.2f, \"callsPerSecondChanging\": %.2f}%n",
                    size, fleet.readers(), CHANGES, millis[CHANGES / 2], millis[CHANGES - 1], steady, changing);
        }
    }

    private static void requireWithin(boolean reached) {
        if (!reached) {
            throw new IllegalStateException("not reached within " + PATIENCE_MILLIS + " ms");
        }
    }
}
