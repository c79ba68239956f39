package org.merlinwood.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.http.ConnectionUse;

final class StoreFollowerTest {

    /** Time for which an instance that has left serves on, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final ManualLoop loop = new ManualLoop(clock);
    private final FakeHttpClient client = new FakeHttpClient();
    private final RecordingStoreListener listener = new RecordingStoreListener();
    private final Map<String, String> values = listener.values;
    private final StoreFollower follower =
            new StoreFollower(new PlainTextStoreProtocol(), client, loop, clock, listener);
    private final StoreReread reread = new StoreReread(new PlainTextStoreProtocol(), client, loop, follower);

    @BeforeEach
    void listTwoKeys() {
        follower.start();
        respond("more 5 a=1@3");
        assertThat(client.last().request().path()).isEqualTo("/list/a");
        respond("done 6 b=1@4");
    }

    @AfterEach
    void storeWasNeverRestored() {
        assertThat(listener.restores).isEmpty();
    }

    /** Guards against one odd entry that ends the following of all others. */
    @Test
    void changesBehindOneThatCannotBeAppliedAreApplied() {
        listener.throwOn = "odd";
        respond("done 9 odd=1@8 b=2@9");
        assertThat(values).containsEntry("b", "2");
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        assertThat(client.last().request().path()).isEqualTo("/watch/9");
    }

    /** Guards against an entry that stood still, or is cut off, and takes what it knows for current. */
    @Test
    void copyIsCurrentOnlyOnceTheStoreHasNothingNew() {
        List<Boolean> answers = new ArrayList<>();
        reread.confirm(answers::add);
        assertThat(client.last().request().path()).isEqualTo("/watch/5");
        respond("done 8 b=2@8");
        assertThat(values).containsEntry("b", "2");
        assertThat(answers).isEmpty();
        assertThat(client.last().request().path()).isEqualTo("/watch/8");
        respond("done 8");
        assertThat(answers).containsExactly(true);
    }

    @Test
    void copyIsNotCurrentIfTheStoreDoesNotAnswer() {
        List<Boolean> answers = new ArrayList<>();
        reread.confirm(answers::add);
        client.last().fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        loop.run();
        assertThat(answers).containsExactly(false);
        assertThat(listener.reachable).containsExactly(true);
    }

    @Test
    void copyIsNotCurrentIfTheHistoryIsGone() {
        List<Boolean> answers = new ArrayList<>();
        reread.confirm(answers::add);
        respond("gone");
        assertThat(answers).containsExactly(false);
    }

    @Test
    void watchStartsAtRevisionOfFirstPage() {
        assertThat(values).containsOnlyKeys("a", "b");
        assertThat(client.last().request().path()).isEqualTo("/watch/5");
    }

    @Test
    void newerChangeIsAppliedAndOlderChangeIgnored() {
        respond("done 9 b=2@9");
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        respond("done 10 b=1@4");
        assertThat(values).containsEntry("b", "2");
    }

    @Test
    void removalIsAppliedImmediatelyWhileStoreIsStable() {
        respond("done 9 b=-@9");
        assertThat(values).containsOnlyKeys("a");
    }

    /** Registrations expire during an outage of the store and are renewed after it. */
    @Test
    void removalAfterFailureIsDelayedAndDroppedIfKeyReturns() {
        client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        loop.advance(StoreFollower.RETRY_DELAY_MILLIS);
        respond("done 9 a=-@8 b=-@9");
        assertThat(values).containsOnlyKeys("a", "b");
        assertThat(follower.position().revision()).isLessThan(8);
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        respond("done 11 a=1@11");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).containsOnlyKeys("a");
        assertThat(follower.position()).isEqualTo(position(11));
    }

    /**
     * Guards against an instance that left and gets requests for seconds more, since a silent connection was taken for
     * an outage of the store.
     */
    @Test
    void removalBehindASilentConnectionIsAppliedOnceTheStoreAnswersOnANewOne() {
        silence();
        assertThat(client.last().request().connectionUse()).isEqualTo(ConnectionUse.FRESH);
        respond("done 9 b=-@9");
        assertThat(values).containsOnlyKeys("a");
        assertThat(listener.reachable).containsExactly(true, false, true);
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        assertThat(client.last().request().path()).isEqualTo("/watch/9");
    }

    /** A removal has to take effect within 2 seconds, also if its watch is silent. */
    @Test
    void silentWatchIsGivenUpBeforeARemovalIsDue() {
        assertThat(client.last().request().readTimeoutMillis()).isLessThan(DRAIN_MILLIS);
        assertThat(client.last().request().responseTimeoutMillis()).isLessThan(DRAIN_MILLIS);
    }

    /** The other direction: a store that is silent on a new connection as well is away, and registrations expire. */
    @Test
    void removalAfterASilentStoreIsDelayedAndDroppedIfKeyReturns() {
        silence();
        silence();
        loop.advance(StoreFollower.RETRY_DELAY_MILLIS);
        respond("done 9 a=-@8 b=-@9");
        assertThat(values).containsOnlyKeys("a", "b");
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        respond("done 11 a=1@11");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).containsOnlyKeys("a");
    }

    /** Guards against an instance that leaves after an outage and gets requests for longer than it serves. */
    @Test
    void removalAfterAnOutageIsDelayedUntilRegistrationsAreRenewedAndNotLonger() {
        client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        loop.run();
        respond("done 6");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS - 100);
        respond("done 9 b=-@9");
        assertThat(values).containsOnlyKeys("a", "b");
        loop.advance(100);
        assertThat(values).containsOnlyKeys("a");
    }

    /** Guards against a listing that waits, or starts late, since its connection was silent. */
    @Test
    void listingOnASilentConnectionIsRepeatedAtOnceOnANewOne() {
        respond("gone");
        silence();
        assertThat(client.last().request().path()).isEqualTo("/list/");
        assertThat(client.last().request().connectionUse()).isEqualTo(ConnectionUse.FRESH);
        respond("done 20 a=1@3 b=1@4");
        assertThat(client.last().request().path()).isEqualTo("/watch/20");
    }

    @Test
    void compactedHistoryCausesNewListingThatRemovesMissingKeys() {
        respond("gone");
        loop.run();
        assertThat(client.last().request().path()).isEqualTo("/list/");
        respond("done 20 a=1@3");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).containsOnlyKeys("a");
        assertThat(client.sent().getLast().request().path()).isEqualTo("/watch/20");
    }

    /** Guards against an instance that left and gets requests for seconds more, since the history was compacted. */
    @Test
    void removalBehindACompactedHistoryIsAppliedAtOnce() {
        respond("gone");
        respond("done 20 a=1@3");
        assertThat(values).containsOnlyKeys("a");
    }

    @Test
    void listenerIsNotifiedWhenStoreIsLostAndRegained() {
        client.last().fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        loop.advance(StoreFollower.RETRY_DELAY_MILLIS);
        respond("done 6");
        assertThat(listener.reachable).containsExactly(true, false, true);
    }

    @Test
    void relayedChangesAreAppliedWhenOwnWatchIsBehind() {
        loop.advance(StoreFollower.RELAY_DELAY_MILLIS + 1);
        assertThat(follower.isBehind(position(9))).isTrue();
        assertThat(follower.isBehind(position(5))).isFalse();
        follower.applyRelayed(List.of(PlainTextStoreProtocol.change("b=2@9")), position(9));
        assertThat(values).containsEntry("b", "2");
        assertThat(follower.isBehind(position(9))).isFalse();
        assertThat(follower.changesAfter(position(5)))
                .extracting(StoreChange::key)
                .containsExactly("b");
    }

    @Test
    void relayedChangeDoesNotRevertKeyToOlderRevision() {
        respond("done 9 b=3@9");
        follower.applyRelayed(List.of(PlainTextStoreProtocol.change("b=2@7")), position(7));
        assertThat(values).containsEntry("b", "3");
    }

    /** Lets the last request end without a byte. */
    private void silence() {
        client.last().fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        loop.run();
    }

    private static StorePosition position(long revision) {
        return new StorePosition(0, revision);
    }

    private void respond(String body) {
        client.last().respond(200, body);
        loop.run();
    }
}
