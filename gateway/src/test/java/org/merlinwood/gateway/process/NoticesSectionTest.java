package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstanceNotices;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceNotice;
import org.merlinwood.operation.port.StateDump;

final class NoticesSectionTest {

    private final ManualMillisClock clock = new ManualMillisClock(5_000);
    private final FleetState fleet = new FleetState();
    private final InstanceNotices notices = new InstanceNotices(fleet, clock);

    private static UpstreamInstance instance(String identifier) {
        return new UpstreamInstance(
                identifier, "service", new InetSocketAddress("127.0.0.1", 1), "near", 4, false, Stage.PLAIN, 7, "v1");
    }

    /** Guards against an instance without requests of which neither dump nor log of the moment says why. */
    @Test
    void dumpShowsWhoLeavesAndUntilWhenWhoDeclines() throws Exception {
        fleet.put(instance("i-1"));
        notices.record(instance("i-1"), new InstanceNotice(true, OptionalLong.empty()));
        clock.advanceMillis(100);
        notices.recordFromPeer(new EntryStatus.LeavingInstance("i-2", 8));
        notices.record(instance("i-3"), new InstanceNotice(false, OptionalLong.of(3_000)));
        notices.record(instance("i-4"), new InstanceNotice(false, OptionalLong.of(500)));
        clock.advanceMillis(1_000);
        NoticesSection section = new NoticesSection(notices);
        assertThat(section.state())
                .isEqualTo(new NoticesSection.State(
                        List.of(
                                new InstanceNotices.Leaving("i-1", 7, 1_100, true, true),
                                new InstanceNotices.Leaving("i-2", 8, 1_000, false, false)),
                        List.of(new InstanceNotices.Declining("i-3", 2_001))));
        assertThat(StateDump.write(List.of(section)))
                .contains("\"instanceNotices\"", "\"learnedMillisAgo\" : 1100", "\"acceptsInMillis\" : 2001");
    }
}
