package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.operation.log.DecisionLog;

final class FleetUpdatesTest {

    private static final InstanceNotice LEAVING = new InstanceNotice(true, OptionalLong.empty());

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final FleetState fleet = new FleetState();
    private final InstancePool pool = new InstancePool(fleet, clock, "near", 1);
    private final FleetUpdates updates = new FleetUpdates(
            new WordsStoreProtocol(),
            fleet,
            pool,
            new VersionHistory(fleet, clock),
            new InetSocketAddress("127.0.0.1", 2),
            new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream())));

    @Test
    void routesAreReplacedByHigherVersionOnly() {
        updates.onChange(change(WordsStoreProtocol.CONFIGURATION, "7"));
        updates.onChange(change(WordsStoreProtocol.CONFIGURATION, "6"));
        updates.onChange(change(WordsStoreProtocol.CONFIGURATION, "not a version"));
        assertThat(fleet.routes()).map(RouteTable::version).contains(7L);
    }

    /** Guards against an entry that sends requests to itself, each of which it sends to itself again. */
    @Test
    void registrationWithTheAddressOfThisEntryNamesNoInstance() {
        FleetUpdates atThatAddress = new FleetUpdates(
                new WordsStoreProtocol(),
                fleet,
                pool,
                new VersionHistory(fleet, clock),
                WordsStoreProtocol.INSTANCE_ADDRESS,
                new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream())));
        atThatAddress.onChange(change("a", "ready 1"));
        assertThat(fleet.find("a")).isEmpty();
    }

    @Test
    void instanceIsRegisteredAndRemoved() {
        updates.onChange(change("a", "ready 1"));
        assertThat(fleet.find("a")).isPresent();
        updates.onChange(removal("a"));
        assertThat(fleet.find("a")).isEmpty();
    }

    /** What can't be read must not be chosen, so a registration that became invalid counts as removed. */
    @Test
    void invalidRegistrationRemovesInstance() {
        updates.onChange(change("a", "ready 1"));
        updates.onChange(change("a", "invalid"));
        assertThat(fleet.find("a")).isEmpty();
    }

    /** Another start of an instance can't be told from the former one if neither names its start. */
    @Test
    void removalOfInstanceOfUnknownStartForgetsThatItLeaves() {
        updates.onChange(change("a", "ready " + UpstreamInstance.UNKNOWN_START));
        updates.onChange(change("b", "ready 1"));
        UpstreamInstance unknown = fleet.find("a").orElseThrow();
        UpstreamInstance known = fleet.find("b").orElseThrow();
        pool.notices().record(unknown, LEAVING);
        pool.notices().record(known, LEAVING);
        updates.onChange(removal("a"));
        updates.onChange(removal("b"));
        assertThat(pool.notices().isLeaving(unknown)).isFalse();
        assertThat(pool.notices().isLeaving(known)).isTrue();
    }

    /** A store restored from a backup may hold the registration that an instance had before it began to leave. */
    @Test
    void readyRegistrationRevivesOnlyLeavingInstanceOfSameStart() {
        updates.onChange(change("a", "leaving 1"));
        updates.onChange(change("b", "ready 1"));
        assertThat(updates.revives(change("a", "ready 1"))).isTrue();
        assertThat(updates.revives(change("a", "ready 2"))).isFalse();
        assertThat(updates.revives(change("a", "leaving 1"))).isFalse();
        assertThat(updates.revives(change("b", "ready 1"))).isFalse();
        assertThat(updates.revives(change("c", "ready 1"))).isFalse();
        assertThat(updates.revives(removal("a"))).isFalse();
    }

    private static StoreChange change(String key, String value) {
        return new StoreChange(key, new StorePosition(0, 1), Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    private static StoreChange removal(String key) {
        return new StoreChange(key, new StorePosition(0, 2), Optional.empty());
    }
}
