package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against a request that has no response before the timeout of its route, since its first step threw. */
final class FirstStepThatThrowsTest {

    @ParameterizedTest
    @EnumSource
    void callerIsAnsweredAtOnce(RequestKind kind) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(kind, false);
        fixture.register(kind == RequestKind.STREAM ? Stage.DECODE : Stage.PLAIN, "a", "b");
        fixture.register(Stage.PREFILL, "c");
        fixture.client.throwOnNextSend(new IllegalStateException("thrown by the test"));
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(500);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
        fixture.loop.advance(RequestProcessorFixture.ROUTE_TIMEOUT_MILLIS);
        assertThat(fixture.client.sent()).isEmpty();
    }
}
