package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

final class InstanceCandidatesTest {

    private final InstancePoolFixture fixture = new InstancePoolFixture();

    @Test
    void leavingAndSwitchingInstancesAreNotChosen() {
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.fleet.put(InstancePoolFixture.instance("a", Stage.PLAIN, "near", true));
        fixture.pool.switching(Set.of("b"));
        assertThat(chosen(Set.of())).isEmpty();
    }

    @Test
    void excludedInstanceIsNotChosen() {
        fixture.register(Stage.PLAIN, "a", "b");
        assertThat(chosen(Set.of("a"))).contains("b");
        assertThat(chosen(Set.of("a", "b"))).isEmpty();
    }

    @Test
    void instanceOfAnotherStageIsNotChosen() {
        fixture.register(Stage.DECODE, "a");
        assertThat(chosen(Set.of())).isEmpty();
        assertThat(fixture.pool.decodeInstances(InstancePoolFixture.SERVICE, Optional.empty()))
                .isEqualTo(1);
    }

    /** A paused instance is one that may accept work again at any time, so it still counts. */
    @Test
    void pausedInstanceStaysCandidate() {
        fixture.register(Stage.DECODE, "a");
        fixture.pool.recordFailure("a");
        assertThat(fixture.pool.decodeInstances(InstancePoolFixture.SERVICE, Optional.empty()))
                .isEqualTo(1);
    }

    private Optional<String> chosen(Set<String> excluded) {
        return fixture.pool
                .choosePlain(InstancePoolFixture.SERVICE, Optional.empty(), excluded)
                .map(UpstreamInstance::identifier);
    }
}
