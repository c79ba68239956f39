package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceNotice;

final class InstanceNoticesTest {

    private static final long HOUR_MILLIS = 3_600_000;
    private static final int MANY = 5_000;

    private final ManualMillisClock clock = new ManualMillisClock(5_000);
    private final FleetState fleet = new FleetState();
    private final InstanceNotices notices = new InstanceNotices(fleet, clock);

    private static UpstreamInstance instance(String identifier, long startedUnixMillis) {
        return new UpstreamInstance(
                identifier,
                "service",
                new InetSocketAddress("127.0.0.1", 1),
                "near",
                4,
                false,
                Stage.PLAIN,
                startedUnixMillis,
                "v1");
    }

    private static InstanceNotice leaving() {
        return new InstanceNotice(true, OptionalLong.empty());
    }

    private static InstanceNotice declined(long millis) {
        return new InstanceNotice(false, OptionalLong.of(millis));
    }

    @Test
    void leavingInstanceGetsNothingForGood() {
        assertThat(notices.record(instance("i-1", 7), leaving())).isTrue();
        clock.advanceMillis(HOUR_MILLIS);
        assertThat(notices.mayReceive(instance("i-1", 7))).isFalse();
        assertThat(notices.record(instance("i-1", 7), leaving())).isFalse();
    }

    /** Guards against an address or an identifier that stays closed after its next instance has started. */
    @ParameterizedTest
    @CsvSource({"i-1, 8, true", "i-2, 7, true", "i-1, 7, false"})
    void noticeIsAboutOneStartOfOneInstance(String identifier, long startedUnixMillis, boolean mayReceive) {
        notices.record(instance("i-1", 7), leaving());
        assertThat(notices.mayReceive(instance(identifier, startedUnixMillis))).isEqualTo(mayReceive);
    }

    @ParameterizedTest
    @CsvSource({"7, false", "0, true"})
    void removedInstanceMayReturnOnlyIfItsStartIsUnknown(long startedUnixMillis, boolean mayReceive) {
        UpstreamInstance instance = instance("i-1", startedUnixMillis);
        fleet.put(instance);
        notices.record(instance, leaving());
        fleet.remove("i-1");
        notices.onRemoved(instance);
        assertThat(notices.mayReceive(instance)).isEqualTo(mayReceive);
    }

    /** Guards against a notice that is lost when the registration tells the start only later. */
    @Test
    void noticeThatWasHeardBeforeTheStartWasKnownHolds() {
        fleet.put(instance("i-2", UpstreamInstance.UNKNOWN_START));
        notices.record(instance("i-1", UpstreamInstance.UNKNOWN_START), declined(2_000));
        notices.record(instance("i-2", UpstreamInstance.UNKNOWN_START), leaving());
        assertThat(notices.isDeclining(instance("i-1", 7))).isTrue();
        assertThat(notices.millisUntilAccepted(List.of(instance("i-1", 7))).orElse(0))
                .isPositive();
        assertThat(notices.isLeaving(instance("i-2", 7))).isTrue();
    }

    @Test
    void noticeThatWasHeardBeforeTheStartWasKnownEndsWithTheRegistration() {
        fleet.put(instance("i-1", UpstreamInstance.UNKNOWN_START));
        notices.record(instance("i-1", UpstreamInstance.UNKNOWN_START), leaving());
        notices.onRemoved(instance("i-1", 7));
        assertThat(notices.mayReceive(instance("i-1", 9))).isTrue();
    }

    @Test
    void lateResponseOfAFormerStartDoesNotCloseTheCurrentOneForGood() {
        notices.record(instance("i-1", 7), leaving());
        notices.record(instance("i-1", 7), declined(2_000));
        assertThat(notices.isLeaving(instance("i-1", 9))).isFalse();
        clock.advanceMillis(2_001);
        assertThat(notices.mayReceive(instance("i-1", 9))).isTrue();
    }

    /** Guards against a named time that is lost when the instance's new start is registered after its response. */
    @ParameterizedTest
    @CsvSource({"i-1, 7, true", "i-1, 9, true", "i-1, 0, true", "i-2, 7, false"})
    void namedTimeHoldsForTheInstanceWhateverItsStart(String identifier, long startedUnixMillis, boolean declines) {
        notices.record(instance("i-1", 7), declined(2_000));
        notices.onRemoved(instance("i-1", 7));
        assertThat(notices.isDeclining(instance(identifier, startedUnixMillis))).isEqualTo(declines);
    }

    /** Guards against requests within the last millisecond of the time, which the clock rounds off. */
    @Test
    void decliningInstanceGetsNothingUntilTheTimeHasPassed() {
        notices.record(instance("i-1", 7), declined(2_000));
        clock.advanceMillis(2_000);
        assertThat(notices.isDeclining(instance("i-1", 7))).isTrue();
        clock.advanceMillis(1);
        assertThat(notices.mayReceive(instance("i-1", 7))).isTrue();
        assertThat(notices.decliningCount()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"3000, 1000, 3001", "1000, 3000, 3001"})
    void latestEndHolds(long first, long second, long expected) {
        notices.record(instance("i-1", 7), declined(first));
        notices.record(instance("i-1", 7), declined(second));
        assertThat(notices.millisUntilAccepted(List.of(instance("i-1", 7)))).hasValue(expected);
    }

    /** Guards against requests before the end of a long time. */
    @ParameterizedTest
    @ValueSource(longs = {600_000, 86_400_000, Long.MAX_VALUE})
    void longTimeHoldsToItsEnd(long millis) {
        notices.record(instance("i-1", 7), declined(millis));
        clock.advanceMillis(Math.min(millis, Integer.MAX_VALUE));
        assertThat(notices.isDeclining(instance("i-1", 7))).isTrue();
    }

    @Test
    void serviceAcceptsRequestsAgainWithTheFirstInstanceThatStays() {
        notices.record(instance("i-1", 7), declined(3_000));
        notices.record(instance("i-2", 7), declined(1_000));
        notices.record(instance("i-2", 7), leaving());
        assertThat(notices.millisUntilAccepted(List.of(instance("i-1", 7), instance("i-2", 7))))
                .hasValue(3_001);
        assertThat(notices.millisUntilAccepted(List.of(instance("i-2", 7)))).isEmpty();
    }

    /** What a peer tells holds for the start that it speaks of, and isn't passed on. */
    @Test
    void leavingInstanceIsToldToPeersByTheEntryThatHeardIt() {
        notices.record(instance("i-1", 7), leaving());
        EntryStatus.LeavingInstance told = new EntryStatus.LeavingInstance("i-1", 7);
        assertThat(notices.recentlyLeaving()).containsExactly(told);
        InstanceNotices peer = new InstanceNotices(fleet, clock);
        assertThat(peer.recordFromPeer(told)).isTrue();
        assertThat(peer.recordFromPeer(told)).isFalse();
        assertThat(peer.mayReceive(instance("i-1", 7))).isFalse();
        assertThat(peer.mayReceive(instance("i-1", 8))).isTrue();
        assertThat(peer.recentlyLeaving()).isEmpty();
        clock.advanceMillis(2_000);
        assertThat(notices.recentlyLeaving()).isEmpty();
    }

    /** Guards against a registered instance that gets requests again since many others have left after it. */
    @Test
    void registeredInstanceLeavesHoweverManyLeaveAfterIt() {
        fleet.put(instance("i-0", 7));
        notices.record(instance("i-0", 7), leaving());
        for (int start = 1; start <= MANY; start++) {
            notices.record(instance("i-1", start), leaving());
            clock.advanceMillis(HOUR_MILLIS / 1_000);
        }
        assertThat(notices.mayReceive(instance("i-0", 7))).isFalse();
    }

    /** Guards against memory that grows with each instance that ever left. */
    @Test
    void startThatIsNotRegisteredForAnHourIsForgotten() {
        for (int start = 1; start <= MANY; start++) {
            notices.record(instance("i-1", start), leaving());
        }
        clock.advanceMillis(HOUR_MILLIS);
        notices.record(instance("i-1", MANY + 1), leaving());
        assertThat(notices.leavingCount()).isEqualTo(1);
    }

    /** Guards against an instance that gets requests again behind an outage in which its registration was missing. */
    @Test
    void startThatComesBackWithinAnHourLeaves() {
        fleet.put(instance("i-0", 7));
        notices.record(instance("i-0", 7), leaving());
        clock.advanceMillis(2 * HOUR_MILLIS);
        fleet.remove("i-0");
        notices.record(instance("i-1", 1), leaving());
        clock.advanceMillis(HOUR_MILLIS - 1);
        notices.record(instance("i-1", 2), leaving());
        fleet.put(instance("i-0", 7));
        notices.record(instance("i-1", 3), leaving());
        assertThat(notices.mayReceive(instance("i-0", 7))).isFalse();
    }

    /** Guards against a late response of a removed instance that closes the next one with its identifier. */
    @Test
    void noticeWithoutStartOfARemovedInstanceClosesNoLaterOne() {
        assertThat(notices.record(instance("i-1", UpstreamInstance.UNKNOWN_START), leaving()))
                .isFalse();
        fleet.put(instance("i-1", 9));
        assertThat(notices.mayReceive(instance("i-1", 9))).isTrue();
    }
}
