package org.merlinwood.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.identity.Revisions;

/** Followers over real connections. */
class ConfigurationFollowerTest {

    private static final int SIZE = 9;
    private static final int READERS = 6;
    private static final long PATIENCE_MILLIS = 20_000;

    @Test
    void aFleetFollowsThroughAFewReadersAndSurvivesAnOutage() throws InterruptedException {
        try (LoopbackFleet fleet = new LoopbackFleet(SIZE)) {
            fleet.publish(1);
            fleet.start();
            assertThat(LoopbackFleet.await(() -> fleet.allAt(new Revisions(1, 1)), PATIENCE_MILLIS))
                    .isTrue();
            assertThat(LoopbackFleet.await(() -> fleet.readers() == READERS, PATIENCE_MILLIS))
                    .isTrue();

            fleet.publish(2);
            assertThat(LoopbackFleet.await(() -> fleet.allAt(new Revisions(2, 1)), PATIENCE_MILLIS))
                    .isTrue();

            fleet.service().down(true);
            ConfigurationFollower replaced = fleet.replace(SIZE - 1);
            assertThat(LoopbackFleet.await(replaced::isReady, PATIENCE_MILLIS)).isTrue();
            assertThat(replaced.current().map(ActiveConfiguration::revisions)).contains(new Revisions(2, 1));
        }
    }
}
