package org.merlinwood.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

final class StoreFollowerTest {

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final ManualLoop loop = new ManualLoop(clock);
    private final FakeHttpClient client = new FakeHttpClient();
    private final Map<String, String> known = new TreeMap<>();
    private final List<Boolean> reachable = new ArrayList<>();
    private final StoreFollower follower = new StoreFollower(new Words(), client, loop, clock, new Listener());

    @BeforeEach
    void listTwoKeys() {
        follower.start();
        answer("more 5 a=1@3");
        assertThat(client.last().request().path()).isEqualTo("/list/a");
        answer("done 6 b=1@4");
    }

    @Test
    void aListingOfSeveralPagesIsFollowedByAWatchFromItsFirst() {
        assertThat(known).containsOnlyKeys("a", "b");
        assertThat(client.last().request().path()).isEqualTo("/watch/5");
    }

    @Test
    void aChangeIsTakenAndAnOlderOneIsNot() {
        answer("done 9 b=2@9");
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        answer("done 10 b=1@4");
        assertThat(known).containsEntry("b", "2");
    }

    @Test
    void aRemovalCountsAtOnceWhileTheStoreIsSound() {
        answer("done 9 b=-@9");
        assertThat(known).containsOnlyKeys("a");
    }

    /** Registrations lapse during an outage and come back behind it. */
    @Test
    void aRemovalBehindTroubleWaitsAndIsForgottenIfTheKeyReturns() {
        client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        loop.advance(StoreFollower.FAILURE_PAUSE_MILLIS);
        answer("done 9 a=-@8 b=-@9");
        assertThat(known).containsOnlyKeys("a", "b");
        assertThat(follower.revision()).isLessThan(8);
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        answer("done 11 a=1@11");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(known).containsOnlyKeys("a");
        assertThat(follower.revision()).isEqualTo(11);
    }

    @Test
    void forgottenHistoryIsReadAnewAndWhatIsMissingIsGone() {
        answer("gone");
        loop.run();
        assertThat(client.last().request().path()).isEqualTo("/list/");
        answer("done 20 a=1@3");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(known).containsOnlyKeys("a");
        assertThat(client.sent().getLast().request().path()).isEqualTo("/watch/20");
    }

    @Test
    void lossAndReturnOfTheStoreAreTold() {
        client.last().fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        loop.advance(StoreFollower.FAILURE_PAUSE_MILLIS);
        answer("done 6");
        assertThat(reachable).containsExactly(true, false, true);
    }

    @Test
    void whatTheStoreDoesNotTellAPeerRelays() {
        loop.advance(StoreFollower.LAG_MILLIS + 1);
        assertThat(follower.isBehind(9)).isTrue();
        assertThat(follower.isBehind(5)).isFalse();
        follower.applyRelayed(List.of(change("b", "2", 9)), 9);
        assertThat(known).containsEntry("b", "2");
        assertThat(follower.isBehind(9)).isFalse();
        assertThat(follower.changesAfter(5)).extracting(StoreChange::key).containsExactly("b");
    }

    @Test
    void aRelayedChangeNeverTakesAKeyBack() {
        answer("done 9 b=3@9");
        follower.applyRelayed(List.of(change("b", "2", 7)), 7);
        assertThat(known).containsEntry("b", "3");
    }

    // ------------------------------------------------------------------ fixtures

    private void answer(String body) {
        client.last().respond(200, body);
        loop.run();
    }

    private static StoreChange change(String key, String value, long revision) {
        return new StoreChange(
                key,
                revision,
                value.equals("-") ? Optional.empty() : Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    private final class Listener implements StoreListener {

        @Override
        public void onChange(StoreChange change) {
            change.value()
                    .ifPresentOrElse(
                            value -> known.put(change.key(), new String(value, StandardCharsets.UTF_8)),
                            () -> known.remove(change.key()));
        }

        @Override
        public void onReachable(boolean now, String reason) {
            reachable.add(now);
        }
    }

    /** Answers in plain words: {@code more|done REVISION KEY=VALUE@REVISION ...}. */
    private static final class Words implements StoreProtocol {

        @Override
        public HttpRequest list(String afterKey) {
            return call("/list/" + afterKey);
        }

        @Override
        public HttpRequest watch(long afterRevision, long waitMillis) {
            return call("/watch/" + afterRevision);
        }

        @Override
        public StoreResponse read(HttpResponse answer) {
            String[] words = answer.text().split(" ", -1);
            if (words[0].equals("gone")) {
                return new StoreResponse.HistoryCompacted();
            }
            List<StoreChange> changes = new ArrayList<>();
            for (int index = 2; index < words.length; index++) {
                String[] parts = words[index].split("[=@]", -1);
                changes.add(change(parts[0], parts[1], Long.parseLong(parts[2])));
            }
            return new StoreResponse.Changes(changes, words[0].equals("more"), Long.parseLong(words[1]));
        }

        @Override
        public boolean isConfiguration(String key) {
            return false;
        }

        @Override
        public Optional<RouteTable> readRoutes(byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<String> instanceOf(String key) {
            return Optional.empty();
        }

        @Override
        public Optional<UpstreamInstance> readInstance(String key, byte[] value) {
            return Optional.empty();
        }

        private static HttpRequest call(String path) {
            return HttpRequest.of("GET", new InetSocketAddress("127.0.0.1", 1), path, new byte[0]);
        }
    }
}
