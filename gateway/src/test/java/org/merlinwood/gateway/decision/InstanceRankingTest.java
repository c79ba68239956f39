package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

final class InstanceRankingTest {

    /**
     * Time after which an instance that failed twice is chosen again before one with two requests in progress, in
     * milliseconds.
     */
    private static final long RECOVERY_MILLIS = 5_000;

    private final InstancePoolFixture fixture = new InstancePoolFixture();

    @Test
    void pauseDoublesWithEachFailureAndEndsWithSingleRequest() {
        fixture.register(Stage.PLAIN, "a", "b");
        long firstPause = fixture.pool.recordFailure("a");
        assertThat(fixture.pool.recordFailure("a")).isEqualTo(2 * firstPause);
        assertThat(chosen(Set.of())).contains("b");
        fixture.clock.advanceMillis(RECOVERY_MILLIS);
        fixture.pool.beginPlainAttempt("b");
        fixture.pool.beginPlainAttempt("b");
        assertThat(chosen(Set.of())).contains("a");
        fixture.pool.beginPlainAttempt("a");
        assertThat(chosen(Set.of())).contains("b");
    }

    @Test
    void choosesInstanceWhosePauseEndsFirstIfAllArePaused() {
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.pool.recordFailure("a");
        fixture.pool.recordFailure("b");
        fixture.pool.recordFailure("b");
        assertThat(chosen(Set.of())).contains("a");
    }

    /** An instance that returns errors quickly has few requests in progress and so looks less loaded than others. */
    @Test
    void instanceWithErrorsIsNotPreferredForItsLowLoad() {
        fixture.register(Stage.PLAIN, "grey", "sound");
        for (int index = 0; index < 10; index++) {
            fixture.pool.recordErrorResponse("grey");
            fixture.pool.recordSuccess("sound", 40);
        }
        fixture.pool.beginPlainAttempt("sound");
        fixture.pool.beginPlainAttempt("sound");
        assertThat(chosen(Set.of())).contains("sound");
    }

    @Test
    void slowInstanceGetsLessWork() {
        fixture.register(Stage.PLAIN, "slow", "sound");
        for (int index = 0; index < 10; index++) {
            fixture.pool.recordSuccess("slow", 400);
            fixture.pool.recordSuccess("sound", 40);
        }
        fixture.pool.beginPlainAttempt("sound");
        assertThat(chosen(Set.of())).contains("sound");
    }

    /** Thirty entries choose before any of them receives a status message that shows the choices of the others. */
    @Test
    void manyEntriesDoNotAllChooseSameInstance() {
        fixture.register(
                Stage.DECODE,
                IntStream.range(0, 20).mapToObj(index -> "i" + index).toArray(String[]::new));
        Map<String, Integer> placed = new HashMap<>();
        for (int entry = 0; entry < 30; entry++) {
            InstancePool entryPool = new InstancePool(fixture.fleet, fixture.clock, "near", entry);
            entryPool.entryCount(30);
            entryPool
                    .chooseDecode(
                            InstancePoolFixture.SERVICE,
                            PendingGeneration.of(InstancePoolFixture.LONG),
                            InstancePoolFixture.LIMITS,
                            Set.of())
                    .ifPresent(choice -> placed.merge(choice.identifier(), 1, Integer::sum));
        }
        assertThat(placed.values()).allMatch(count -> count <= 15);
        assertThat(placed).hasSizeGreaterThanOrEqualTo(4);
    }

    @Test
    void instanceInOwnDomainIsPreferredUntilItHasMoreRequests() {
        fixture.fleet.put(InstancePoolFixture.instance("a", Stage.PLAIN, "far", false));
        fixture.fleet.put(InstancePoolFixture.instance("b", Stage.PLAIN, "near", false));
        assertThat(chosen(Set.of())).contains("b");
        fixture.pool.beginPlainAttempt("b");
        assertThat(chosen(Set.of())).contains("a");
    }

    private Optional<String> chosen(Set<String> excluded) {
        return fixture.pool
                .choosePlain(InstancePoolFixture.SERVICE, Optional.empty(), excluded)
                .map(UpstreamInstance::identifier);
    }
}
