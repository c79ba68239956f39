package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.PlainWords;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpHeader;

final class StreamCourseTest {

    private static CourseFixture entry(boolean resumable) {
        CourseFixture fixture = new CourseFixture(RequestKind.STREAM, resumable);
        fixture.register(Stage.DECODE, "d1", "d2");
        fixture.register(Stage.PREFILL, "f1");
        return fixture;
    }

    private static CourseFixture streaming(boolean resumable) {
        CourseFixture fixture = entry(resumable);
        fixture.ask("/p/x");
        fixture.client.last().respond(200, "hold-1");
        fixture.client.last().respond(200, "handle-1");
        fixture.client.last().head(200, CourseFixture.OWN_ANSWER);
        return fixture;
    }

    @Test
    void memoryIsReservedThenThePromptComputedThenTheAnswerGenerated() {
        CourseFixture fixture = streaming(false);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\n");
        fixture.client.last().bytes("id: 2\ndata: b\n\n");
        fixture.client.last().end();
        assertThat(fixture.caller.ended).isTrue();
        assertThat(fixture.client.sent().get(0).request().path()).contains("/hold/");
        assertThat(fixture.client.sent().get(1).request().path()).isEqualTo("/f1/prefill");
        assertThat(fixture.client.last().request().headers())
                .contains(new HttpHeader("hold", "hold-1"), new HttpHeader("prefill", "handle-1"));
    }

    @Test
    void aStreamThatMayBeResumedGoesOnBehindItsLastWholeEvent() {
        CourseFixture fixture = streaming(true);
        fixture.client.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        fixture.client.last().respond(200, "hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
        fixture.client.last().head(200, CourseFixture.OWN_ANSWER);
        fixture.client.last().bytes("id: 2\ndata: b\n\n");
        fixture.client.last().end();
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(fixture.caller.ended).isTrue();
    }

    @Test
    void aStreamThatMayNotBeResumedIsBrokenOffAndNeverLooksWhole() {
        CourseFixture fixture = streaming(false);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.brokenOff).isTrue();
        assertThat(fixture.caller.ended).isFalse();
    }

    @Test
    void aRunWithUnknownOutcomeIsNotRepeatedNorCalledNotRun() {
        CourseFixture fixture = entry(false);
        fixture.ask("/p/x");
        fixture.client.last().respond(200, "hold-1");
        fixture.client.last().respond(200, "handle-1");
        int calls = fixture.client.sent().size();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(calls);
        assertThat(fixture.caller.status).isEqualTo(502);
    }

    @Test
    void anInstanceWhoseComputedPromptIsGoneComputesItByItself() {
        CourseFixture fixture = entry(false);
        fixture.ask("/p/x");
        fixture.client.last().respond(200, "hold-1");
        fixture.client.last().respond(200, "handle-1");
        String first = fixture.client.last().request().path();
        fixture.client.last().respond(503, "", PlainWords.NOT_RUN);
        assertThat(fixture.client.last().request().path()).isEqualTo(first);
        assertThat(fixture.client.last().request().headers()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aCallerWhoLeavesFreesWhatWasReservedAndComputed(int answersBefore) {
        CourseFixture fixture = entry(false);
        fixture.ask("/p/x");
        if (answersBefore > 1) {
            fixture.client.last().respond(200, "hold-1");
        }
        if (answersBefore > 2) {
            fixture.client.last().respond(200, "handle-1");
        }
        FakeHttpClient.SentRequest underWay = fixture.client.last();
        fixture.caller.leave();
        assertThat(underWay.cancelled()).isTrue();
        boolean holdUnused = answersBefore == 2;
        assertThat(fixture.client.sent().stream()
                        .anyMatch(call -> call.request().path().contains("/release-hold/hold-1")))
                .isEqualTo(holdUnused);
    }

    /** Burst beyond the memory of all instances: what fits nowhere soon is refused at once, not held. */
    @Test
    void withoutRoomInSightTheRefusalIsImmediate() {
        CourseFixture fixture = new CourseFixture(RequestKind.STREAM, false);
        fixture.register(Stage.PREFILL, "f1");
        fixture.ask("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.toldWhenToComeBack()).isTrue();
        assertThat(fixture.client.sent()).isEmpty();
    }
}
