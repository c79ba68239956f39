package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against instances whose endless bodies fill the memory of an entry together, each below the limit of one. */
final class CollectedBytesTest {

    private static final int PART_BYTES = 64 << 10;

    @Test
    void largeResponsesFailOnceAllTogetherExceedTheLimitAndSmallOnesDoNot() {
        CollectedBytes collected = new CollectedBytes();
        assertThat(collected.add((int) CollectedBytes.MAXIMUM_BYTES, CollectedBytes.MAXIMUM_BYTES))
                .isTrue();
        assertThat(collected.add(PART_BYTES, PART_BYTES)).isTrue();
        assertThat(collected.add(PART_BYTES, CollectedBytes.ALWAYS_ALLOWED_BYTES + 1))
                .isFalse();
        collected.remove(CollectedBytes.MAXIMUM_BYTES);
        assertThat(collected.add(PART_BYTES, CollectedBytes.MAXIMUM_BYTES)).isTrue();
    }

    @Test
    void plainResponseThatExceedsTheLimitIsRetriedAndItsBytesAreNotDelivered() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        for (long sent = 0; sent <= CollectedBytes.MAXIMUM_BYTES; sent += PART_BYTES) {
            fixture.client.last().bytes("x".repeat(PART_BYTES));
        }
        assertThat(fixture.client.sent()).hasSize(2);
        assertThat(fixture.client.sent().getFirst().cancelled()).isTrue();
        fixture.client.last().respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    @Test
    void bytesOfFailedResponsesDoNotCount() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.NON_IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        for (int request = 0; request < 3; request++) {
            fixture.sendRequest("/p/x");
            fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            fixture.client.last().bytes("x".repeat((int) CollectedBytes.MAXIMUM_BYTES - 1));
            assertThat(fixture.client.last().cancelled()).isFalse();
            fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
            fixture.clock.advanceMillis(10_000);
        }
    }
}
