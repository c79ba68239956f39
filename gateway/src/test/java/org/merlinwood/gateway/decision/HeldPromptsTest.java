package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.HeldPart;

/** Guards against streams that go on at a version which doesn't follow from what instances hold, and against memory. */
final class HeldPromptsTest {

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final FleetState fleet = new FleetState();
    private final HeldPrompts heldPrompts = new HeldPrompts(fleet, clock);

    private static HeldPart part(String identifier) {
        return new HeldPart("m", identifier, 100);
    }

    /** Returns an instance whose version is the first word of its identifier. */
    private static UpstreamInstance instance(String identifier) {
        return new UpstreamInstance(
                identifier,
                "service",
                new InetSocketAddress("127.0.0.1", 1),
                "domain",
                4,
                false,
                Stage.DECODE,
                UpstreamInstance.UNKNOWN_START,
                identifier.substring(0, identifier.indexOf('-')));
    }

    private void record(String instance, String... parts) {
        heldPrompts.record(
                instance(instance),
                clock.monotonicMillis(),
                Stream.of(parts).map(HeldPromptsTest::part).toList());
    }

    private HeldVersion versionHolding(String part) {
        return versionHolding(part, 0);
    }

    private HeldVersion versionHolding(String part, long sinceMillis) {
        return heldPrompts.versionHolding(key("service", "m", part), Set.of(), sinceMillis);
    }

    private static HeldPrompts.Key key(String service, String model, String part) {
        return new HeldPrompts.Key(service, model, part);
    }

    private static HeldVersion certain(String version) {
        return new HeldVersion.Certain(version);
    }

    private static HeldVersion uncertain(String version, String... unknownVersions) {
        return new HeldVersion.Uncertain(version, Set.of(unknownVersions));
    }

    private static HeldVersion ambiguous(String... versions) {
        return new HeldVersion.Ambiguous(Set.of(versions));
    }

    @Test
    void partThatOneVersionHoldsTellsThatVersion() {
        record("v1-a", "own", "shared");
        record("v1-b", "own");
        record("v2-a", "shared");
        assertThat(versionHolding("own")).isEqualTo(certain("v1"));
        assertThat(versionHolding("shared")).isEqualTo(ambiguous("v1", "v2"));
    }

    @Test
    void partOfAnotherServiceOrModelTellsNothing() {
        record("v1-a", "own");
        assertThat(heldPrompts.versionHolding(key("other", "m", "own"), Set.of(), 0))
                .isEqualTo(ambiguous());
        assertThat(heldPrompts.versionHolding(key("service", "n", "own"), Set.of(), 0))
                .isEqualTo(ambiguous());
    }

    /** Guards against streams at another version: an instance that hasn't answered is not one that holds nothing. */
    @ParameterizedTest
    @ValueSource(strings = {"not asked", "not answered", "started again", "gone without an answer"})
    void instanceWhoseMemoryIsNotKnownMayHoldThePart(String memory) {
        UpstreamInstance other = instance("v2-a");
        fleet.put(other);
        switch (memory) {
            case "not answered" -> heldPrompts.recordUnanswered(other, clock.monotonicMillis());
            case "started again" -> {
                heldPrompts.record(other, clock.monotonicMillis(), List.of());
                fleet.put(other.withStart(7));
            }
            case "gone without an answer" -> {
                heldPrompts.recordUnanswered(other, clock.monotonicMillis());
                fleet.remove(other.identifier());
            }
            default -> {}
        }
        record("v1-a", "own");
        assertThat(versionHolding("own")).isEqualTo(uncertain("v1", "v2"));
    }

    /** Guards against streams at another version: one that began since may be held where it wasn't before. */
    @Test
    void instanceThatWasAskedBeforeIsNotKnownNow() {
        fleet.put(instance("v2-a"));
        record("v1-a", "own");
        record("v2-a", "other");
        clock.advanceMillis(1);
        long nowMillis = clock.monotonicMillis();
        record("v1-a", "own");
        assertThat(versionHolding("own", nowMillis)).isEqualTo(uncertain("v1", "v2"));
        record("v2-a", "other");
        assertThat(versionHolding("own", nowMillis)).isEqualTo(certain("v1"));
    }

    /** Guards against refusals: the instance that began a stream may have evicted its prompt since it was asked. */
    @Test
    void partThatWasHeldEarlierCounts() {
        record("v1-a", "own");
        clock.advanceMillis(1);
        long nowMillis = clock.monotonicMillis();
        record("v1-a", "other");
        assertThat(versionHolding("own", nowMillis)).isEqualTo(certain("v1"));
    }

    /** Guards against refusals: a memory that can't speak for another version doesn't matter. */
    @Test
    void instanceOfTheSameVersionNeedNotAnswer() {
        fleet.put(instance("v1-b"));
        record("v1-a", "own");
        assertThat(versionHolding("own")).isEqualTo(certain("v1"));
    }

    /** Guards against refusals: an instance that was silent for a second tells what it holds then. */
    @Test
    void answerThatComesLateCounts() {
        heldPrompts.recordUnanswered(instance("v2-a"), clock.monotonicMillis());
        record("v1-a", "own");
        record("v2-a", "other");
        assertThat(versionHolding("own")).isEqualTo(certain("v1"));
    }

    /** Callers have given up by then; a later request with the same part may have been sent elsewhere. */
    @Test
    void answerIsForgottenWhenNoStreamCanBeTakenUpAnyMore() {
        record("v1-a", "own");
        clock.advanceMillis(HeldPrompts.LIFETIME_MILLIS - 1);
        assertThat(versionHolding("own")).isEqualTo(certain("v1"));
        clock.advanceMillis(1);
        assertThat(versionHolding("own")).isEqualTo(ambiguous());
    }

    /** Guards against memory without end, and against streams at another version since a part was forgotten. */
    @Test
    void memoryIsBoundedAndWhatWasForgottenIsNotKnown() {
        record("v2-a", "forgotten", "own");
        List<HeldPart> parts = IntStream.range(1, HeldPrompts.MAXIMUM_PARTS)
                .mapToObj(number -> part("part-" + number))
                .toList();
        heldPrompts.record(instance("v1-a"), clock.monotonicMillis(), parts);
        assertThat(versionHolding("forgotten")).isEqualTo(ambiguous());
        assertThat(versionHolding("own")).isEqualTo(certain("v2"));
        assertThat(versionHolding("part-1")).isEqualTo(uncertain("v1", "v2"));
    }
}
