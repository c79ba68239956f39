package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;

final class InstancePoolTest {

    private static final String SERVICE = "service";

    /**
     * Time after which an instance that failed twice is chosen again before one with two requests in progress, in
     * milliseconds.
     */
    private static final long RECOVERY_MILLIS = 5_000;

    private static final EngineLimits LIMITS = new EngineLimits(16, 74_000, 72, 500, 2_000, 6_000);
    private static final Prompt LONG = new Prompt("m", 5_200, 9_360, OptionalInt.empty(), List.of());

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final FleetState fleet = new FleetState();
    private final InstancePool pool = new InstancePool(fleet, clock, "near", 1);

    /** A burst of long prompts must be spread evenly and must not exceed the memory of any decode instance. */
    @Test
    void burstOfLongPromptsFillsInstancesEvenlyUpToMemoryLimit() {
        register(Stage.DECODE, "a", "b", "c");
        Map<String, Integer> placed = new HashMap<>();
        Optional<UpstreamInstance> choice = pool.chooseDecode(SERVICE, LONG, LIMITS, Set.of());
        while (choice.isPresent()) {
            pool.beginGeneration(choice.get().identifier(), LONG);
            placed.merge(choice.get().identifier(), 1, Integer::sum);
            choice = pool.chooseDecode(SERVICE, LONG, LIMITS, Set.of());
        }
        assertThat(placed).hasSize(3);
        assertThat(placed.values()).allMatch(count -> count == 6);
        assertThat(pool.millisUntilCapacity(SERVICE, LONG, LIMITS).orElse(0)).isPositive();
    }

    /** Short responses need almost no reserve for estimation errors, so every slot is used with nearly full memory. */
    @Test
    void shortResponsesToLongPromptsUseEverySlot() {
        register(Stage.DECODE, "a");
        EngineLimits limits = new EngineLimits(12, 65_500, 8, 500, 2_000, 6_000);
        Prompt brief = new Prompt("m", 5_200, 70, OptionalInt.of(70), List.of());
        int placed = 0;
        while (pool.chooseDecode(SERVICE, brief, limits, Set.of()).isPresent()) {
            pool.beginGeneration("a", brief);
            placed++;
        }
        assertThat(placed).isEqualTo(limits.slots());
    }

    /** Thirty entries choose before any of them receives a status message that shows the choices of the others. */
    @Test
    void manyEntriesDoNotAllChooseSameInstance() {
        register(
                Stage.DECODE,
                IntStream.range(0, 20).mapToObj(index -> "i" + index).toArray(String[]::new));
        Map<String, Integer> placed = new HashMap<>();
        for (int entry = 0; entry < 30; entry++) {
            InstancePool entryPool = new InstancePool(fleet, clock, "near", entry);
            entryPool.entryCount(30);
            entryPool
                    .chooseDecode(SERVICE, LONG, LIMITS, Set.of())
                    .ifPresent(choice -> placed.merge(choice.identifier(), 1, Integer::sum));
        }
        assertThat(placed.values()).allMatch(count -> count <= 15);
        assertThat(placed).hasSizeGreaterThanOrEqualTo(4);
    }

    /** The memory used by another entry's responses is unavailable until that entry is removed. */
    @Test
    void workOfOtherEntriesReducesCapacity() {
        register(Stage.DECODE, "a", "b");
        List<MemoryForecast.Growth> others =
                List.of(new MemoryForecast.Growth(30_000, 5_000), new MemoryForecast.Growth(30_000, 5_000));
        pool.updatePeer(status("peer", new EntryStatus.InstanceWork("a", 2, 0, others)));
        assertThat(pool.chooseDecode(SERVICE, LONG, LIMITS, Set.of()))
                .map(UpstreamInstance::identifier)
                .contains("b");
        pool.removePeer("peer");
        pool.beginGeneration("b", LONG);
        assertThat(pool.chooseDecode(SERVICE, LONG, LIMITS, Set.of()))
                .map(UpstreamInstance::identifier)
                .contains("a");
    }

    @Test
    void pauseDoublesWithEachFailureAndEndsWithSingleRequest() {
        register(Stage.PLAIN, "a", "b");
        long firstPause = pool.recordFailure("a");
        assertThat(pool.recordFailure("a")).isEqualTo(2 * firstPause);
        assertThat(chosen(Set.of())).contains("b");
        clock.advanceMillis(RECOVERY_MILLIS);
        pool.beginPlainAttempt("b");
        pool.beginPlainAttempt("b");
        assertThat(chosen(Set.of())).contains("a");
        pool.beginPlainAttempt("a");
        assertThat(chosen(Set.of())).contains("b");
    }

    @Test
    void choosesInstanceWhosePauseEndsFirstIfAllArePaused() {
        register(Stage.PLAIN, "a", "b");
        pool.recordFailure("a");
        pool.recordFailure("b");
        pool.recordFailure("b");
        assertThat(chosen(Set.of())).contains("a");
    }

    /** An instance that returns errors quickly has few requests in progress and so looks less loaded than others. */
    @Test
    void instanceWithErrorsIsNotPreferredForItsLowLoad() {
        register(Stage.PLAIN, "grey", "sound");
        for (int index = 0; index < 10; index++) {
            pool.recordErrorResponse("grey");
            pool.recordSuccess("sound", 40);
        }
        pool.beginPlainAttempt("sound");
        pool.beginPlainAttempt("sound");
        assertThat(chosen(Set.of())).contains("sound");
    }

    @Test
    void slowInstanceGetsLessWork() {
        register(Stage.PLAIN, "slow", "sound");
        for (int index = 0; index < 10; index++) {
            pool.recordSuccess("slow", 400);
            pool.recordSuccess("sound", 40);
        }
        pool.beginPlainAttempt("sound");
        assertThat(chosen(Set.of())).contains("sound");
    }

    @Test
    void leavingAndSwitchingInstancesAreNotChosen() {
        register(Stage.PLAIN, "a", "b");
        fleet.put(instance("a", Stage.PLAIN, true));
        pool.switching(Set.of("b"));
        assertThat(chosen(Set.of())).isEmpty();
    }

    /** If prompts arrive faster than they are computed, further ones would be computed too late to be used. */
    @Test
    void prefillIsNotChosenIfQueueIsFull() {
        register(Stage.PREFILL, "a");
        for (int index = 0; index < 4; index++) {
            assertThat(pool.choosePrefill(SERVICE, "near", 5_200, Set.of())).isPresent();
            pool.beginPrompt("a", 5_200);
        }
        assertThat(pool.choosePrefill(SERVICE, "near", 5_200, Set.of())).isEmpty();
    }

    /**
     * All entries restart together and send their callers' prompts to the same instances before any has measured one.
     * Giving up on a prompt that is being computed would make the instance compute it for nothing.
     */
    @Test
    void prefillOfUnknownSpeedIsExpectedToTakeLong() {
        register(Stage.PREFILL, "a");
        assertThat(pool.expectedPrefillMillis("a", 5_200)).isGreaterThan(500);
        pool.recordPrefill("a", 5_200, 104);
        assertThat(pool.expectedPrefillMillis("a", 5_200)).isEqualTo(104);
    }

    @Test
    void singleCachedPromptDoesNotChangePrefillThroughput() {
        for (int index = 0; index < 10; index++) {
            pool.recordPrefill("a", 5_000, 100);
        }
        pool.recordPrefill("a", 5_000, 2);
        assertThat(pool.prefillTokensPerMilli()).isEqualTo(50);
    }

    private Optional<String> chosen(Set<String> excluded) {
        return pool.choosePlain(SERVICE, excluded).map(UpstreamInstance::identifier);
    }

    private void register(Stage stage, String... identifiers) {
        for (String identifier : identifiers) {
            fleet.put(instance(identifier, stage, false));
        }
    }

    private static UpstreamInstance instance(String identifier, Stage stage, boolean leaving) {
        return new UpstreamInstance(
                identifier,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 1),
                "near",
                16,
                leaving,
                stage,
                UpstreamInstance.UNKNOWN_START);
    }

    private static EntryStatus status(String address, EntryStatus.InstanceWork work) {
        return new EntryStatus(
                address, List.of(), StorePosition.START, List.of(work), List.of(), List.of(), List.of(), 0, List.of());
    }
}
