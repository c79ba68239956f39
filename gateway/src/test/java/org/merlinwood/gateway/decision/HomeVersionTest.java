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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.request.PromptPart;

/**
 * Guards against sessions whose prompts instances of two versions hold: their requests begin at one version, whichever
 * entry places them, as long as it has room.
 */
final class HomeVersionTest {

    private static final int SESSIONS = 200;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final FleetState fleet = new FleetState();
    private final InstancePool pool = new InstancePool(fleet, clock, "near", 1);

    private void register(String version, String... identifiers) {
        for (String identifier : identifiers) {
            fleet.put(new UpstreamInstance(
                    identifier,
                    InstancePoolFixture.SERVICE,
                    new InetSocketAddress("127.0.0.1", 1),
                    "near",
                    16,
                    false,
                    Stage.DECODE,
                    UpstreamInstance.UNKNOWN_START,
                    version));
        }
    }

    private static PendingGeneration pending(String session, Optional<String> version) {
        Prompt prompt = new Prompt(
                "m",
                5_200,
                130,
                OptionalInt.empty(),
                List.of(new PromptPart("shared", 200), new PromptPart(session, 5_000)));
        return new PendingGeneration(prompt, 0, version);
    }

    private static Optional<String> choose(InstancePool entry, String session) {
        return entry.chooseDecode(
                        InstancePoolFixture.SERVICE,
                        pending(session, Optional.empty()),
                        InstancePoolFixture.LIMITS,
                        Set.of())
                .map(UpstreamInstance::version);
    }

    private Optional<String> homeOf(String session) {
        return HomeVersion.of(session, fleet.instances(InstancePoolFixture.SERVICE));
    }

    private static List<String> sessions() {
        return IntStream.range(0, SESSIONS)
                .mapToObj(number -> Integer.toHexString(number * 0x9E3779B1))
                .toList();
    }

    private String sessionAtHomeIn(String version) {
        return sessions().stream()
                .filter(session -> homeOf(session).equals(Optional.of(version)))
                .findFirst()
                .orElseThrow();
    }

    private void beginResponses(int count, String instance) {
        for (int number = 0; number < count; number++) {
            pool.beginGeneration(instance, pending("other-" + number, Optional.empty()));
        }
    }

    /**
     * Guards against entries that place the requests of a session at different versions, by what each of them knows.
     */
    @Test
    void allEntriesBeginTheRequestsOfASessionAtTheSameVersion() {
        register("v1", "a", "b");
        register("v2", "c", "d");
        beginResponses(3, "a");
        beginResponses(3, "b");
        InstancePool other = new InstancePool(fleet, clock, "far", 2);
        assertThat(sessions())
                .allSatisfy(session -> assertThat(choose(pool, session))
                        .isEqualTo(choose(other, session))
                        .isEqualTo(homeOf(session)));
    }

    /** Guards against a version with one instance that gets as many requests as the others together. */
    @Test
    void versionIsHomeToAsManySessionsAsItHasInstances() {
        register("v1", "a", "b", "c", "d");
        register("v2", "e");
        Map<String, Integer> counts = new HashMap<>();
        sessions().forEach(session -> counts.merge(homeOf(session).orElseThrow(), 1, Integer::sum));
        assertThat(counts.get("v2")).isBetween(SESSIONS / 10, SESSIONS * 3 / 10);
    }

    /** Guards against a session that moves whenever another instance comes or goes. */
    @Test
    void sessionStaysWhenAnotherInstanceGoes() {
        register("v1", "a", "b", "c");
        register("v2", "d", "e", "f");
        Map<String, Optional<String>> before = new HashMap<>();
        sessions().forEach(session -> before.put(session, homeOf(session)));
        fleet.remove("b");
        assertThat(sessions())
                .filteredOn(session -> !homeOf(session).equals(before.get(session)))
                .allSatisfy(session -> assertThat(before.get(session)).contains("v1"))
                .hasSizeLessThan(SESSIONS / 6);
    }

    /** Guards against requests that wait, or are refused, or are slow, though another version has room for them. */
    @ParameterizedTest
    @ValueSource(strings = {"is full", "is paused", "is much slower", "leaves"})
    void requestBeginsAtAnotherVersionIfItsHome(String state) {
        register("v1", "a");
        register("v2", "b");
        String session = sessionAtHomeIn("v1");
        assertThat(choose(pool, session)).contains("v1");
        switch (state) {
            case "is full" -> beginResponses(14, "a");
            case "is paused" -> pool.recordFailure("a");
            case "is much slower" -> {
                pool.recordSuccess("a", 400);
                pool.recordSuccess("b", 40);
            }
            default ->
                fleet.put(new UpstreamInstance(
                        "a",
                        InstancePoolFixture.SERVICE,
                        new InetSocketAddress("127.0.0.1", 1),
                        "near",
                        16,
                        true,
                        Stage.DECODE,
                        UpstreamInstance.UNKNOWN_START,
                        "v1"));
        }
        assertThat(choose(pool, session)).contains("v2");
    }

    /** Guards against a begun stream that goes on at the home of its session although it began elsewhere. */
    @Test
    void streamThatIsBoundToAVersionGoesOnThere() {
        register("v1", "a");
        register("v2", "b");
        assertThat(pool.chooseDecode(
                        InstancePoolFixture.SERVICE,
                        pending(sessionAtHomeIn("v1"), Optional.of("v2")),
                        InstancePoolFixture.LIMITS,
                        Set.of()))
                .map(UpstreamInstance::version)
                .contains("v2");
    }

    /** Guards against requests that gather at one instance of the home version: load decides within it. */
    @Test
    void loadDecidesAmongTheInstancesOfTheHomeVersion() {
        register("v1", "a", "b");
        register("v2", "c");
        beginResponses(2, "a");
        assertThat(pool.chooseDecode(
                        InstancePoolFixture.SERVICE,
                        pending(sessionAtHomeIn("v1"), Optional.empty()),
                        InstancePoolFixture.LIMITS,
                        Set.of()))
                .map(UpstreamInstance::identifier)
                .contains("b");
    }
}
