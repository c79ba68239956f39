package org.merlinwood.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FleetStateTest {

    private final FleetState fleet = new FleetState();

    private static UpstreamInstance instance(long startedUnixMillis) {
        return new UpstreamInstance(
                "i-1",
                "service",
                new InetSocketAddress("127.0.0.1", 1),
                "near",
                4,
                false,
                Stage.PLAIN,
                startedUnixMillis,
                "v1");
    }

    /** Guards against notices that are lost because a registration of the same start doesn't tell the start. */
    @ParameterizedTest
    @CsvSource({"7, 0, 7", "7, 8, 8", "0, 7, 7", "0, 0, 0"})
    void registrationWithoutAStartIsOfTheKnownStart(long first, long second, long expected) {
        fleet.put(instance(first));
        fleet.put(instance(second));
        assertThat(fleet.find("i-1").orElseThrow().startedUnixMillis()).isEqualTo(expected);
        assertThat(fleet.instances("service")).containsExactly(instance(expected));
    }

    @Test
    void registrationBehindARemovalIsOfNoKnownStart() {
        fleet.put(instance(7));
        fleet.remove("i-1");
        fleet.put(instance(UpstreamInstance.UNKNOWN_START));
        assertThat(fleet.find("i-1").orElseThrow().startedUnixMillis()).isEqualTo(UpstreamInstance.UNKNOWN_START);
    }
}
