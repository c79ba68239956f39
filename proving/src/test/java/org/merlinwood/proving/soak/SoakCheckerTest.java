package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.platform.standin.CallerCalls;
import org.merlinwood.proving.soak.Observation.End;

final class SoakCheckerTest {

    private static final FaultPlan PLAN =
            new FaultPlan(List.of(new ScheduledFault(FaultKind.ENTRY_KILLED, 1, 2_000, 1_000)));
    private static final String COMPLETE_BODY = CallerCalls.completeResponse(CallerCalls.Kind.BOOK, "a1");

    private static final String TWO_VERSIONS = ": version v1\nid: 1\ndata: a\n\n: version v2\nid: 2\ndata: b\n\n";

    static Stream<Arguments> brokenPromises() {
        return Stream.of(
                Arguments.of("looks whole", observation(0, 0, 30, End.COMPLETE, 200, "answer"), 1),
                Arguments.of("refused as not run", observation(0, 0, 30, End.COMPLETE, 503, ""), 1),
                Arguments.of("must not be repeated", observation(0, 0, 30, End.COMPLETE, 200, COMPLETE_BODY), 2),
                Arguments.of("came late", observation(0, 0, 2_001, End.COMPLETE, 504, ""), 1),
                Arguments.of("was not reached", observation(0, 0, 3, End.UNREACHED, 0, ""), 0),
                Arguments.of("gave no answer", observation(0, 0, 3, End.BROKEN, 0, ""), 1),
                Arguments.of("several software versions", observation(0, 0, 30, End.BROKEN, 200, TWO_VERSIONS), 1));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenPromises")
    void brokenPromiseIsReported(String words, Observation observation, int runs) {
        assertThat(violations(observation, runs)).singleElement().asString().contains(words);
    }

    @Test
    void completeResponseIsNoViolation() {
        assertThat(violations(observation(0, 0, 30, End.COMPLETE, 200, COMPLETE_BODY), 1))
                .isEmpty();
    }

    @Test
    void brokenResponseOfKilledEntryIsNoViolation() {
        assertThat(violations(observation(1, 1_900, 150, End.BROKEN, 0, ""), 1)).isEmpty();
    }

    @Test
    void secondRunIsReportedDespiteKilledEntry() {
        assertThat(violations(observation(1, 1_900, 150, End.BROKEN, 0, ""), 2)).hasSize(1);
    }

    @Test
    void missingResponsesAfterRecoveryAreReported() {
        assertThat(SoakChecker.violations(PLAN, List.of(), attempt -> 0))
                .singleElement()
                .asString()
                .contains("after the recovery 0 of 0");
    }

    private static List<String> violations(Observation observation, int runs) {
        String other = "b1";
        Observation recovered = new Observation(
                other,
                CallerCalls.Kind.READ,
                0,
                PLAN.endMillis() + SoakChecker.RECOVERY_MILLIS + 1,
                30,
                End.COMPLETE,
                200,
                CallerCalls.completeResponse(CallerCalls.Kind.READ, other));
        return SoakChecker.violations(
                PLAN, List.of(observation, recovered), attempt -> attempt.equals(other) ? 1 : runs);
    }

    private static Observation observation(int entry, long began, long elapsed, End end, int status, String body) {
        return new Observation("a1", CallerCalls.Kind.BOOK, entry, began, elapsed, end, status, body);
    }
}
