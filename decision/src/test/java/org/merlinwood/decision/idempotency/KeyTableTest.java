package org.merlinwood.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.core.time.MillisClock;

final class KeyTableTest {

    private static final long HORIZON_MILLIS = 60_000;
    private static final int ENTRIES = 5;
    private static final int STORED_BYTES = 1_000;

    private final ManualMillisClock clock = new ManualMillisClock(1_000_000);
    private final KeyTable table = new KeyTable(clock);

    @BeforeEach
    void configure() {
        table.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
    }

    @Test
    void aStoredResponseIsReplayed() {
        run("a", 10);
        assertThat(decision("a"))
                .isInstanceOfSatisfying(
                        KeyDecision.Replay.class,
                        replay -> assertThat(replay.response().status()).isEqualTo(201));
    }

    @Test
    void aRetryJoinsTheRunningRequest() {
        table.begin(request("a"));
        assertThat(decision("a")).isInstanceOf(KeyDecision.Join.class);
    }

    @Test
    void theSameKeyWithAnotherBodyIsRefused() {
        run("a", 10);
        KeyedRequest other = new KeyedRequest(request("a").key(), new Fingerprint("ff"));
        assertThat(refusal(table.find(other)).code()).isEqualTo(ResultCode.KEY_REUSED);
    }

    @Test
    void theSameKeyOfAnotherCallerIsAnotherKey() {
        run("a", 10);
        ScopedKey other = new ScopedKey(new CallerName("other"), new IdempotencyKey("a"));
        assertThat(table.find(new KeyedRequest(other, new Fingerprint("aa")))).isEmpty();
    }

    @Test
    void aRequestThatMayHaveRunStaysUnknownUntilTheHorizon() {
        table.begin(request("a"));
        table.outcomeUnknown(request("a").key());
        clock.advanceMillis(HORIZON_MILLIS - 1);
        assertThat(refusal(table.find(request("a"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        clock.advanceMillis(1);
        assertThat(table.find(request("a"))).isEmpty();
    }

    @Test
    void aRequestThatDidNotRunFreesItsKey() {
        table.begin(request("a"));
        table.recordNotRun(request("a").key());
        assertThat(table.find(request("a"))).isEmpty();
    }

    @Test
    void evictingAResponseKeepsItsKey() {
        run("a", 500);
        run("b", 500);
        Failure failure = refusal(table.find(request("a")));
        assertThat(failure.code()).isEqualTo(ResultCode.KEY_ANSWER_EVICTED);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.RAN);
        assertThat(decision("b")).isInstanceOf(KeyDecision.Replay.class);
        assertThat(table.state().storedBytes()).isLessThanOrEqualTo(STORED_BYTES);
    }

    @Test
    void aFullTableRefusesNewKeysInsteadOfRemovingOldOnes() {
        for (int number = 0; number < ENTRIES; number++) {
            run("key-" + number, 1);
        }
        Failure failure = table.begin(request("one-more")).orElseThrow();
        assertThat(failure.code()).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(failure.retryAfterMillis()).isPositive();
        assertThat(decision("key-0")).isInstanceOf(KeyDecision.Replay.class);
        clock.advanceMillis(HORIZON_MILLIS);
        assertThat(table.begin(request("one-more"))).isEmpty();
    }

    @Test
    void aRunningKeyIsNeverRemoved() {
        table.begin(request("a"));
        clock.advanceMillis(2 * HORIZON_MILLIS);
        table.removeExpired();
        assertThat(decision("a")).isInstanceOf(KeyDecision.Join.class);
    }

    @Test
    void anAdoptedTableReturnsTheSameDecisions() {
        run("ran", 10);
        table.begin(request("running"));
        table.begin(request("unknown"));
        table.outcomeUnknown(request("unknown").key());
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.adopt(table.entries(key -> true));
        assertThat(successor.find(request("ran")).orElseThrow()).isInstanceOf(KeyDecision.Replay.class);
        assertThat(refusal(successor.find(request("unknown"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal(successor.find(request("running"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void anAdoptedKeyKeepsItsAge() {
        run("a", 10);
        clock.advanceMillis(HORIZON_MILLIS - 10);
        List<KeyTableEntry> entries = table.entries(key -> true);
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.adopt(entries);
        clock.advanceMillis(10);
        assertThat(successor.find(request("a"))).isEmpty();
    }

    @Test
    void adoptedKeysExpireByAgeNotByArrival() {
        run("older", 10);
        clock.advanceMillis(100);
        KeyTable successor = successorWithYounger(400);
        clock.advanceMillis(HORIZON_MILLIS - 100);
        successor.removeExpired();
        assertThat(successor.state().entries()).isEqualTo(1);
        assertThat(successor.find(request("older"))).isEmpty();
    }

    @Test
    void adoptedResponsesAreEvictedByAge() {
        run("older", 400);
        clock.advanceMillis(100);
        KeyTable successor = successorWithYounger(700);
        assertThat(refusal(successor.find(request("older"))).code()).isEqualTo(ResultCode.KEY_ANSWER_EVICTED);
        assertThat(successor.find(request("younger")).orElseThrow()).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void removingAKeyFreesTheBytesOfItsResponse() {
        run("a", 400);
        clock.advanceMillis(HORIZON_MILLIS);
        table.begin(request("b"));
        assertThat(table.state().storedBytes()).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 1_000})
    void beginChecksOnlyTheOldestKeyForExpiry(int entries) {
        AtomicInteger readings = new AtomicInteger();
        KeyTable counted = new KeyTable(new CountingClock(readings));
        counted.configure(new KeyTableLimits(2 * entries, STORED_BYTES, HORIZON_MILLIS));
        for (int number = 0; number < entries; number++) {
            counted.begin(request("key-" + number));
            counted.outcomeUnknown(request("key-" + number).key());
        }
        readings.set(0);
        counted.begin(request("one-more"));
        assertThat(readings).hasValueLessThanOrEqualTo(2);
    }

    /** Creates a table that ran a request itself before it adopts the entries of the first table. */
    private KeyTable successorWithYounger(int bodyBytes) {
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.begin(request("younger"));
        successor.recordCompleted(request("younger").key(), new StoredResponse(201, List.of(), new byte[bodyBytes]));
        successor.adopt(table.entries(key -> true));
        return successor;
    }

    private void run(String key, int bodyBytes) {
        assertThat(table.begin(request(key))).isEmpty();
        table.recordCompleted(request(key).key(), new StoredResponse(201, List.of(), new byte[bodyBytes]));
    }

    private KeyDecision decision(String key) {
        return table.find(request(key)).orElseThrow();
    }

    private static Failure refusal(Optional<KeyDecision> decision) {
        return ((KeyDecision.Refuse) decision.orElseThrow()).failure();
    }

    private static KeyedRequest request(String key) {
        return new KeyedRequest(
                new ScopedKey(new CallerName("station-7"), new IdempotencyKey(key)), new Fingerprint("aa"));
    }

    /** A stopped clock that counts how often it is read. */
    private record CountingClock(AtomicInteger readings) implements MillisClock {

        @Override
        public long monotonicMillis() {
            readings.incrementAndGet();
            return 0;
        }

        @Override
        public long wallMillis() {
            return 0;
        }
    }
}
