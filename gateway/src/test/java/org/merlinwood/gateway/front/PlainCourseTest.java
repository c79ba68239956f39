package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.PlainWords;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

final class PlainCourseTest {

    private CourseFixture entry(RequestKind kind) {
        CourseFixture fixture = new CourseFixture(kind, false);
        fixture.register(Stage.PLAIN, "a", "b", "c", "d");
        fixture.ask("/p/x");
        return fixture;
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void aWholeAnswerGoesBackUnchanged(RequestKind kind) {
        CourseFixture fixture = entry(kind);
        fixture.client.last().respond(200, "whole", CourseFixture.OWN_ANSWER);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    @Test
    void aBrokenNonIdempotentCallIsNeverRepeatedNorCalledNotRun() {
        CourseFixture fixture = entry(RequestKind.NON_IDEMPOTENT);
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(1);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.toldWhenToComeBack()).isFalse();
    }

    @Test
    void aBrokenIdempotentCallIsRepeatedElsewhere() {
        CourseFixture fixture = entry(RequestKind.IDEMPOTENT);
        String first = fixture.client.last().request().path();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.last().request().path()).isNotEqualTo(first);
        fixture.client.last().respond(200, "second", CourseFixture.OWN_ANSWER);
        assertThat(fixture.caller.body).isEqualTo("second");
    }

    @Test
    void behindABrokenCallNoRefusalSaysThatNothingRan() {
        CourseFixture fixture = new CourseFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.ask("/p/x");
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.status).isEqualTo(502);
    }

    @Test
    void anErrorOfTheOnlyInstanceIsDeliveredAsItIs() {
        CourseFixture fixture = new CourseFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.ask("/p/x");
        fixture.client.last().respond(500, "its error", CourseFixture.OWN_ANSWER);
        assertThat(fixture.caller.status).isEqualTo(500);
        assertThat(fixture.caller.body).isEqualTo("its error");
    }

    @Test
    void anAnswerToAnotherRequestIsNotPassedOn() {
        CourseFixture fixture = entry(RequestKind.NON_IDEMPOTENT);
        fixture.client.last().respond(200, "another's", PlainWords.SIGNED, PlainWords.attempt("attempt-0"));
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.body).doesNotContain("another's");
    }

    @Test
    void whatReachesNoInstanceIsRefusedAsNotRunWithATimeToComeBack() {
        CourseFixture fixture = entry(RequestKind.NON_IDEMPOTENT);
        while (!fixture.caller.ended) {
            fixture.client.last().fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        }
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.toldWhenToComeBack()).isTrue();
    }

    @Test
    void theRouteEndsTheWaitInTimeWithoutSayingNotRun() {
        CourseFixture fixture = entry(RequestKind.NON_IDEMPOTENT);
        fixture.loop.advance(5_000);
        assertThat(fixture.caller.status).isEqualTo(504);
        assertThat(fixture.client.last().cancelled()).isTrue();
    }

    @Test
    void aCallerWhoLeavesEndsTheCallAtOnce() {
        CourseFixture fixture = entry(RequestKind.IDEMPOTENT);
        fixture.caller.leave();
        assertThat(fixture.client.last().cancelled()).isTrue();
        assertThat(fixture.client.sent()).hasSize(1);
    }

    @Test
    void anEntryThatEndsRefusesWhatComesBehindItsLastAnswer() {
        CourseFixture fixture = new CourseFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.departure.start();
        fixture.departure.stopAccepting();
        fixture.ask("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.client.sent()).isEmpty();
    }

    @Test
    void anUnknownPathIsNotSentAnywhere() {
        CourseFixture fixture = new CourseFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.ask("/q/x");
        assertThat(fixture.caller.status).isEqualTo(404);
        assertThat(fixture.client.sent()).isEmpty();
    }
}
