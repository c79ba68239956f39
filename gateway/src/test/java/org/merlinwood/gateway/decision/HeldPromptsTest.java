package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.upstream.HeldPart;

/** Guards against streams that go on at a version which doesn't follow from what instances hold, and against memory. */
final class HeldPromptsTest {

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final HeldPrompts heldPrompts = new HeldPrompts(clock);

    private static HeldPart part(String identifier) {
        return new HeldPart("m", identifier, 100);
    }

    @Test
    void partThatOneVersionHoldsTellsThatVersion() {
        heldPrompts.record("service", "v1", List.of(part("own"), part("shared")));
        heldPrompts.record("service", "v1", List.of(part("own")));
        heldPrompts.record("service", "v2", List.of(part("shared")));
        assertThat(heldPrompts.soleVersionHolding("service", "m", "own")).contains("v1");
        assertThat(heldPrompts.soleVersionHolding("service", "m", "shared")).isEmpty();
    }

    @Test
    void partOfAnotherServiceOrModelTellsNothing() {
        heldPrompts.record("service", "v1", List.of(part("own")));
        assertThat(heldPrompts.soleVersionHolding("other", "m", "own")).isEmpty();
        assertThat(heldPrompts.soleVersionHolding("service", "n", "own")).isEmpty();
    }

    /** Callers have given up by then; a later request with the same part may have been sent elsewhere. */
    @Test
    void answerIsForgottenWhenNoStreamCanBeTakenUpAnyMore() {
        heldPrompts.record("service", "v1", List.of(part("own")));
        clock.advanceMillis(HeldPrompts.LIFETIME_MILLIS - 1);
        assertThat(heldPrompts.soleVersionHolding("service", "m", "own")).contains("v1");
        clock.advanceMillis(1);
        assertThat(heldPrompts.soleVersionHolding("service", "m", "own")).isEmpty();
    }

    @Test
    void memoryIsBounded() {
        List<HeldPart> parts = IntStream.rangeClosed(0, HeldPrompts.MAXIMUM_PARTS)
                .mapToObj(number -> part("part-" + number))
                .toList();
        heldPrompts.record("service", "v1", parts);
        assertThat(heldPrompts.soleVersionHolding("service", "m", "part-0")).isEmpty();
        assertThat(heldPrompts.soleVersionHolding("service", "m", "part-1")).contains("v1");
    }
}
