package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.decision.InstancePoolFixture.SERVICE;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

final class VersionHistoryTest {

    private static final long STREAM_MILLIS = 10_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final FleetState fleet = new FleetState();
    private final VersionHistory history = new VersionHistory(fleet, clock);

    private UpstreamInstance register(String identifier, String version) {
        UpstreamInstance instance = new UpstreamInstance(
                identifier, SERVICE, new InetSocketAddress("127.0.0.1", 1), "near", 4, false, Stage.DECODE, 1, version);
        fleet.put(instance).ifPresent(history::onRegistrationEnded);
        history.onRegistered(instance);
        return instance;
    }

    private void remove(UpstreamInstance instance) {
        fleet.remove(instance.identifier());
        history.onRegistrationEnded(instance);
    }

    /** An entry that has just started can't know which versions there were before it. */
    @Test
    void soleVersionIsKnownOnceTheServiceIsKnownForTheTimeOfAStream() {
        register("i-1", "v1");
        clock.advanceMillis(STREAM_MILLIS - 1);
        assertThat(history.soleVersionWithin(SERVICE, STREAM_MILLIS)).isEmpty();
        clock.advanceMillis(1);
        assertThat(history.soleVersionWithin(SERVICE, STREAM_MILLIS)).contains("v1");
    }

    /** A stream of a version whose last instance is gone may still be taken up. */
    @Test
    void versionCountsForTheTimeOfAStreamAfterItsLastInstance() {
        UpstreamInstance former = register("i-1", "v1");
        clock.advanceMillis(STREAM_MILLIS);
        register("i-2", "v2");
        remove(former);
        clock.advanceMillis(STREAM_MILLIS);
        assertThat(history.soleVersionWithin(SERVICE, STREAM_MILLIS)).isEmpty();
        clock.advanceMillis(1);
        assertThat(history.soleVersionWithin(SERVICE, STREAM_MILLIS)).contains("v2");
    }

    /** Guards against an instance that starts again under its identifier with another version. */
    @Test
    void replacedRegistrationCountsAsItsFormerVersion() {
        register("i-1", "v1");
        clock.advanceMillis(STREAM_MILLIS);
        register("i-1", "v2");
        assertThat(history.versionsWithin(SERVICE, STREAM_MILLIS)).containsExactlyInAnyOrder("v1", "v2");
    }

    @Test
    void unknownServiceHasNoVersion() {
        assertThat(history.versionsWithin(SERVICE, STREAM_MILLIS)).isEmpty();
        assertThat(history.soleVersionWithin(SERVICE, STREAM_MILLIS)).isEmpty();
    }
}
