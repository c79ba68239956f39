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
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;

final class InstancePoolTest {

    private static final String SERVICE = "service";

    /** Time by which an instance that failed twice is tried again beside one with two calls, in milliseconds. */
    private static final long RETURN_MILLIS = 5_000;

    private static final EngineLimits LIMITS = new EngineLimits(16, 74_000, 72, 500, 2_000, 6_000);
    private static final Prompt LONG = new Prompt("m", 5_200, 9_360, OptionalInt.empty(), List.of());

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final FleetState fleet = new FleetState();
    private final InstancePool pool = new InstancePool(fleet, clock, "near", 1);

    /** Burst of long prompts: every decode instance is filled alike, and what is too much finds no room. */
    @Test
    void aBurstOfLongPromptsFillsAllInstancesAndNoneBeyondItsMemory() {
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

    /** Many short answers to long prompts: little is uncertain, so every slot is used though memory is nearly full. */
    @Test
    void shortAnswersToLongPromptsFillEverySlot() {
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

    /** Thirty entries that each place one answer before any hears of the others: no instance gets them all. */
    @Test
    void manyEntriesDoNotAllChooseTheInstanceThatLooksBest() {
        register(
                Stage.DECODE,
                IntStream.range(0, 20).mapToObj(index -> "i" + index).toArray(String[]::new));
        Map<String, Integer> placed = new HashMap<>();
        for (int entry = 0; entry < 30; entry++) {
            InstancePool one = new InstancePool(fleet, clock, "near", entry);
            one.entryCount(30);
            one.chooseDecode(SERVICE, LONG, LIMITS, Set.of())
                    .ifPresent(choice -> placed.merge(choice.identifier(), 1, Integer::sum));
        }
        assertThat(placed.values()).allMatch(count -> count <= 15);
        assertThat(placed).hasSizeGreaterThanOrEqualTo(4);
    }

    /** The same burst at two entries: the work that the other one told of counts. */
    @Test
    void theWorkOfOtherEntriesTakesRoom() {
        register(Stage.DECODE, "a", "b");
        List<MemoryForecast.Growth> others =
                List.of(new MemoryForecast.Growth(30_000, 5_000), new MemoryForecast.Growth(30_000, 5_000));
        pool.updatePeer(news("peer", new EntryStatus.InstanceWork("a", 2, 0, others)));
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
    void aFailedInstanceIsPausedLongerEachTimeAndTriedByOneRequest() {
        register(Stage.PLAIN, "a", "b");
        long firstPause = pool.recordFailure("a");
        assertThat(pool.recordFailure("a")).isEqualTo(2 * firstPause);
        assertThat(chosen(Set.of())).contains("b");
        clock.advanceMillis(RETURN_MILLIS);
        pool.beginPlainAttempt("b");
        pool.beginPlainAttempt("b");
        assertThat(chosen(Set.of())).contains("a");
        pool.beginPlainAttempt("a");
        assertThat(chosen(Set.of())).contains("b");
    }

    @Test
    void whereAllArePausedTheFirstToEndItsPauseIsTried() {
        register(Stage.PLAIN, "a", "b");
        pool.recordFailure("a");
        pool.recordFailure("b");
        pool.recordFailure("b");
        assertThat(chosen(Set.of())).contains("a");
    }

    /** A grey instance: answers quickly, so it looks idle, but with errors. */
    @Test
    void anInstanceThatAnswersErrorsGetsLessWorkThoughItLooksIdle() {
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
    void aSlowInstanceGetsLessWork() {
        register(Stage.PLAIN, "slow", "sound");
        for (int index = 0; index < 10; index++) {
            pool.recordSuccess("slow", 400);
            pool.recordSuccess("sound", 40);
        }
        pool.beginPlainAttempt("sound");
        assertThat(chosen(Set.of())).contains("sound");
    }

    @Test
    void leavingAndSwitchingInstancesGetNothing() {
        register(Stage.PLAIN, "a", "b");
        fleet.put(instance("a", Stage.PLAIN, true));
        pool.switching(Set.of("b"));
        assertThat(chosen(Set.of())).isEmpty();
    }

    /** Prompts come faster than they are computed: a result that would come late is wasted, so none is begun. */
    @Test
    void noPromptWaitsBehindManyOthers() {
        register(Stage.PREFILL, "a");
        for (int index = 0; index < 4; index++) {
            assertThat(pool.choosePrefill(SERVICE, "near", 5_200, Set.of())).isPresent();
            pool.beginPrompt("a", 5_200);
        }
        assertThat(pool.choosePrefill(SERVICE, "near", 5_200, Set.of())).isEmpty();
    }

    @Test
    void oneCachedPromptDoesNotSetTheSpeedOfPrefill() {
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
                identifier, SERVICE, new InetSocketAddress("127.0.0.1", 1), "near", 16, leaving, stage);
    }

    private static EntryStatus news(String address, EntryStatus.InstanceWork work) {
        return new EntryStatus(address, List.of(), 0, List.of(work), List.of(), List.of(), List.of(), 0);
    }
}
