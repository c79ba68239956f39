package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.gateway.route.RouteTable;

/** Guards against requests without a response whose route, service or instances are removed while they are open. */
final class RequestBesideChangeTest {

    private static void removeAllRoutes(RequestProcessorFixture fixture) {
        assertThat(fixture.fleet.replaceRoutes(RouteTable.of(2, List.of(), List.of(), 1)))
                .isTrue();
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void plainRequestGetsItsResponseAlthoughItsRouteAndInstanceAreGone(RequestKind kind) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(kind, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        removeAllRoutes(fixture);
        fixture.fleet.remove("a");
        fixture.fleet.remove("b");
        fixture.pool.remove("a");
        fixture.pool.remove("b");
        fixture.client.last().respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(200);
    }

    @Test
    void requestThatIsDeclinedBehindTheChangeIsRefusedAtOnce() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        removeAllRoutes(fixture);
        fixture.fleet.remove("a");
        fixture.fleet.remove("b");
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.caller.status).isEqualTo(503);
    }

    @Test
    void streamThatWaitsForMemoryIsRefusedInItsTimeAlthoughItsServiceIsGone() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(503, "");
        removeAllRoutes(fixture);
        fixture.fleet.remove("d1");
        fixture.pool.remove("d1");
        fixture.loop.advance(RequestProcessorFixture.CALLER_TIME_MILLIS - 1);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }
}
