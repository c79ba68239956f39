package org.merlinwood.proving.prove;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.prove.KeyedRequests.Booking;
import org.merlinwood.proving.prove.StreamSet.Stream;
import org.merlinwood.standin.engine.ExpectedResponse;

/** The checks of the proofs report every kind of wrong response and accept correct ones. */
final class ProofChecksTest {

    private static final String PROMPT = "a report";
    private static final int TOKENS = 5;

    @ParameterizedTest
    @CsvSource({"1,0,RAN,0", "0,2001,NOT_RUN,0", "1,3001,UNKNOWN,0", "0,3001,UNKNOWN,0", "1,3002,UNKNOWN,0"})
    void responseConsistentWithLedgersIsAccepted(int runs, int code, String execution, int faults) {
        assertThat(faultsOf(runs, response(code, execution, "one"))).hasSize(faults);
    }

    @ParameterizedTest
    @CsvSource({"2,0,RAN", "2,3001,UNKNOWN", "0,0,RAN", "1,2001,NOT_RUN", "1,4001,NOT_RUN", "1,3002,NOT_RUN"})
    void responseContradictingLedgersIsReported(int runs, int code, String execution) {
        assertThat(faultsOf(runs, response(code, execution, "one"))).isNotEmpty();
    }

    @Test
    void differentResponsesForOneKeyAreReported() {
        assertThat(faultsOf(1, response(0, "RAN", "one"), response(0, "RAN", "two")))
                .hasSize(1);
    }

    @Test
    void completeStreamIsAccepted() {
        assertThat(streamFault(ExpectedResponse.text(PROMPT, TOKENS), 1, true)).isEmpty();
    }

    @Test
    void streamWithMissingTokenIsReported() {
        List<String> tokens = ExpectedResponse.tokens(PROMPT, TOKENS);
        assertThat(streamFault(String.join("", tokens.subList(1, TOKENS)), 1, true))
                .isNotEmpty();
    }

    @Test
    void responseToAnotherPromptIsReported() {
        assertThat(streamFault(ExpectedResponse.text("another report", TOKENS), 1, true))
                .isNotEmpty();
    }

    @Test
    void streamWithTwoTerminalEventsIsReported() {
        assertThat(streamFault(ExpectedResponse.text(PROMPT, TOKENS), 2, true)).isNotEmpty();
    }

    @Test
    void streamWithoutDoneEventIsReported() {
        assertThat(streamFault(ExpectedResponse.text(PROMPT, TOKENS), 1, false)).isNotEmpty();
    }

    private static List<String> faultsOf(int runs, CallerResponse... responses) {
        return Booking.faults("key", runs, Arrays.asList(responses));
    }

    private static String streamFault(String text, int ends, boolean whole) {
        CallerResponse response = new CallerResponse(
                "request",
                200,
                OptionalInt.of(0),
                "",
                false,
                whole,
                ends,
                text,
                "length",
                Optional.empty(),
                1,
                TimeUnit.SECONDS.toMillis(1),
                Optional.empty());
        return new Stream(0, PROMPT, TOKENS, null).fault(response);
    }

    private static CallerResponse response(int code, String execution, String text) {
        return new CallerResponse(
                "request",
                code == 0 ? 201 : 503,
                OptionalInt.of(code),
                execution,
                false,
                true,
                1,
                text,
                "",
                Optional.empty(),
                0,
                1,
                Optional.empty());
    }
}
