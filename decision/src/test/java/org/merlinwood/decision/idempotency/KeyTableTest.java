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
    void aStoredAnswerIsGivenAgain() {
        run("a", 10);
        assertThat(decision("a"))
                .isInstanceOfSatisfying(
                        KeyDecision.Replay.class,
                        replay -> assertThat(replay.response().status()).isEqualTo(201));
    }

    @Test
    void aResendJoinsTheCallThatRuns() {
        table.begin(call("a"));
        assertThat(decision("a")).isInstanceOf(KeyDecision.Join.class);
    }

    @Test
    void theSameKeyWithAnotherBodyIsRefused() {
        run("a", 10);
        KeyedRequest other = new KeyedRequest(call("a").key(), new Fingerprint("ff"));
        assertThat(refusal(table.find(other)).code()).isEqualTo(ResultCode.KEY_REUSED);
    }

    @Test
    void theSameKeyOfAnotherCallerIsAnotherKey() {
        run("a", 10);
        ScopedKey other = new ScopedKey(new CallerName("other"), new IdempotencyKey("a"));
        assertThat(table.find(new KeyedRequest(other, new Fingerprint("aa")))).isEmpty();
    }

    @Test
    void aCallThatMayHaveRunStaysUnknownUntilTheHorizon() {
        table.begin(call("a"));
        table.outcomeUnknown(call("a").key());
        clock.advanceMillis(HORIZON_MILLIS - 1);
        assertThat(refusal(table.find(call("a"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        clock.advanceMillis(1);
        assertThat(table.find(call("a"))).isEmpty();
    }

    @Test
    void aCallThatNeverLeftFreesItsKey() {
        table.begin(call("a"));
        table.recordNotRun(call("a").key());
        assertThat(table.find(call("a"))).isEmpty();
    }

    @Test
    void evictedAnswersKeepTheirKeys() {
        run("a", 500);
        run("b", 500);
        Failure failure = refusal(table.find(call("a")));
        assertThat(failure.code()).isEqualTo(ResultCode.KEY_ANSWER_EVICTED);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.RAN);
        assertThat(decision("b")).isInstanceOf(KeyDecision.Replay.class);
        assertThat(table.state().storedBytes()).isLessThanOrEqualTo(STORED_BYTES);
    }

    @Test
    void aFullTableRefusesNewKeysInsteadOfForgettingOldOnes() {
        for (int number = 0; number < ENTRIES; number++) {
            run("key-" + number, 1);
        }
        Failure failure = table.begin(call("one-more")).orElseThrow();
        assertThat(failure.code()).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(failure.retryAfterMillis()).isPositive();
        assertThat(decision("key-0")).isInstanceOf(KeyDecision.Replay.class);
        clock.advanceMillis(HORIZON_MILLIS);
        assertThat(table.begin(call("one-more"))).isEmpty();
    }

    @Test
    void aRunningKeyIsNeverForgotten() {
        table.begin(call("a"));
        clock.advanceMillis(2 * HORIZON_MILLIS);
        table.removeExpired();
        assertThat(decision("a")).isInstanceOf(KeyDecision.Join.class);
    }

    @Test
    void aHandedOverTableKnowsWhatTheOldOneKnew() {
        run("ran", 10);
        table.begin(call("running"));
        table.begin(call("unknown"));
        table.outcomeUnknown(call("unknown").key());
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.adopt(table.entries(key -> true));
        assertThat(successor.find(call("ran")).orElseThrow()).isInstanceOf(KeyDecision.Replay.class);
        assertThat(refusal(successor.find(call("unknown"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal(successor.find(call("running"))).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void aHandedOverKeyKeepsItsAge() {
        run("a", 10);
        clock.advanceMillis(HORIZON_MILLIS - 10);
        List<KeyTableEntry> entries = table.entries(key -> true);
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.adopt(entries);
        clock.advanceMillis(10);
        assertThat(successor.find(call("a"))).isEmpty();
    }

    @Test
    void handedOverKeysExpireByTheirAgeAndNotByTheOrderOfTheirArrival() {
        run("older", 10);
        clock.advanceMillis(100);
        KeyTable successor = successorWithYounger(400);
        clock.advanceMillis(HORIZON_MILLIS - 100);
        successor.removeExpired();
        assertThat(successor.state().entries()).isEqualTo(1);
        assertThat(successor.find(call("older"))).isEmpty();
    }

    @Test
    void handedOverAnswersAreEvictedByTheirAge() {
        run("older", 400);
        clock.advanceMillis(100);
        KeyTable successor = successorWithYounger(700);
        assertThat(refusal(successor.find(call("older"))).code()).isEqualTo(ResultCode.KEY_ANSWER_EVICTED);
        assertThat(successor.find(call("younger")).orElseThrow()).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void forgettingAKeyFreesTheBytesOfItsAnswer() {
        run("a", 400);
        clock.advanceMillis(HORIZON_MILLIS);
        table.begin(call("b"));
        assertThat(table.state().storedBytes()).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 1_000})
    void aNewKeyLooksAtTheOldestKeyOnly(int entries) {
        AtomicInteger readings = new AtomicInteger();
        KeyTable counted = new KeyTable(new CountingClock(readings));
        counted.configure(new KeyTableLimits(2 * entries, STORED_BYTES, HORIZON_MILLIS));
        for (int number = 0; number < entries; number++) {
            counted.begin(call("key-" + number));
            counted.outcomeUnknown(call("key-" + number).key());
        }
        readings.set(0);
        counted.begin(call("one-more"));
        assertThat(readings).hasValueLessThanOrEqualTo(2);
    }

    /** A table that ran a call itself before it took over what the other one knows. */
    private KeyTable successorWithYounger(int bodyBytes) {
        KeyTable successor = new KeyTable(clock);
        successor.configure(new KeyTableLimits(ENTRIES, STORED_BYTES, HORIZON_MILLIS));
        successor.begin(call("younger"));
        successor.recordCompleted(call("younger").key(), new StoredResponse(201, List.of(), new byte[bodyBytes]));
        successor.adopt(table.entries(key -> true));
        return successor;
    }

    private void run(String key, int bodyBytes) {
        assertThat(table.begin(call(key))).isEmpty();
        table.recordCompleted(call(key).key(), new StoredResponse(201, List.of(), new byte[bodyBytes]));
    }

    private KeyDecision decision(String key) {
        return table.find(call(key)).orElseThrow();
    }

    private static Failure refusal(Optional<KeyDecision> decision) {
        return ((KeyDecision.Refuse) decision.orElseThrow()).failure();
    }

    private static KeyedRequest call(String key) {
        return new KeyedRequest(
                new ScopedKey(new CallerName("station-7"), new IdempotencyKey(key)), new Fingerprint("aa"));
    }

    /** Stands still, and counts how often it is read. */
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
