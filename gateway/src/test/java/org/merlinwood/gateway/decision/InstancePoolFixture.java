package org.merlinwood.gateway.decision;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalInt;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;

/** A pool of one service, with a clock that only the test advances. */
final class InstancePoolFixture {

    static final String SERVICE = "service";
    static final String OWN_DOMAIN = "near";
    static final EngineLimits LIMITS = new EngineLimits(16, 74_000, 72, 500, 2_000, 6_000);
    static final Prompt LONG = new Prompt("m", 5_200, 9_360, OptionalInt.empty(), List.of());

    final ManualMillisClock clock = new ManualMillisClock(0);
    final FleetState fleet = new FleetState();
    final InstancePool pool = new InstancePool(fleet, clock, OWN_DOMAIN, 1);

    void register(Stage stage, String... identifiers) {
        for (String identifier : identifiers) {
            fleet.put(instance(identifier, stage, OWN_DOMAIN, false));
        }
    }

    static UpstreamInstance instance(String identifier, Stage stage, String domain, boolean leaving) {
        return new UpstreamInstance(
                identifier,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 1),
                domain,
                16,
                leaving,
                stage,
                UpstreamInstance.UNKNOWN_START,
                "v1");
    }
}
