package org.merlinwood.following;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.identity.Revisions;

/** Tests followers over real loopback connections, with a configuration service that becomes unavailable. */
class ConfigurationFollowerTest {

    private static final int SIZE = 9;
    private static final int READERS = 6;
    private static final long TIMEOUT_MILLIS = 20_000;

    @Test
    void fleetFollowsThroughSixReadersAndReplacementStartsDuringServiceOutage() throws InterruptedException {
        try (LoopbackFleet fleet = new LoopbackFleet(SIZE)) {
            fleet.publish(1);
            fleet.start();
            assertThat(LoopbackFleet.await(() -> fleet.allAt(new Revisions(1, 1)), TIMEOUT_MILLIS))
                    .isTrue();
            assertThat(LoopbackFleet.await(() -> fleet.readers() == READERS, TIMEOUT_MILLIS))
                    .isTrue();

            fleet.publish(2);
            assertThat(LoopbackFleet.await(() -> fleet.allAt(new Revisions(2, 1)), TIMEOUT_MILLIS))
                    .isTrue();

            fleet.service().down(true);
            ConfigurationFollower replacement = fleet.replace(SIZE - 1);
            assertThat(LoopbackFleet.await(replacement::isReady, TIMEOUT_MILLIS))
                    .isTrue();
            assertThat(replacement.current().map(ActiveConfiguration::revisions))
                    .contains(new Revisions(2, 1));
        }
    }
}
