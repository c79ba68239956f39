package org.merlinwood.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.ManualMillisClock;

/** Tests the store of sealed tables and the query for the table of a predecessor. */
final class SealedTableTest {

    private static final InstanceName HOME = new InstanceName("ledger-1");
    private static final InstanceName FIRST = new InstanceName("runner-1");
    private static final InstanceName SECOND = new InstanceName("runner-2");
    private static final Incarnation OLDER = new Incarnation(1);
    private static final Incarnation NEWER = new Incarnation(2);
    private static final long HORIZON_MILLIS = 60_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final SealedTableStore store = new SealedTableStore(clock);
    private final PredecessorTableQuery query = new PredecessorTableQuery(Set.of(FIRST));

    @BeforeEach
    void configure() {
        store.configure(new KeyTableLimits(10, 1_000, HORIZON_MILLIS));
    }

    @Test
    void aTableIsHandedOutOnceWithItsCurrentAge() {
        store.store(table(OLDER, 5));
        clock.advanceMillis(100);
        SealedTable removed = store.remove(HOME).orElseThrow();
        assertThat(removed.sealedMillis()).isEqualTo(105);
        assertThat(removed.entries().getFirst().ageMillis()).isEqualTo(100);
        assertThat(store.remove(HOME)).isEmpty();
    }

    @Test
    void aTableIsRemovedAfterTheHorizon() {
        store.store(table(OLDER, 5));
        clock.advanceMillis(HORIZON_MILLIS);
        assertThat(store.remove(HOME)).isEmpty();
    }

    @Test
    void aTableOverTheLimitsIsNotStored() {
        SealedTable small = table(OLDER, 5);
        SealedTable large = new SealedTable(
                HOME, OLDER, Collections.nCopies(11, small.entries().getFirst()), 0, 0, Set.of());
        assertThat(store.store(large)).isFalse();
    }

    @Test
    void aTableIsUsedOnceEveryHolderHasReturnedIt() {
        query.recordResponse(FIRST, Optional.of(table(OLDER, 5)));
        assertThat(query.pending()).containsExactly(SECOND);
        assertThat(query.predecessorTable()).isEmpty();
        query.recordResponse(SECOND, Optional.of(table(OLDER, 5)));
        assertThat(query.predecessorTable()).isPresent();
    }

    @Test
    void aTableThatAHolderNoLongerHasIsNotUsed() {
        query.recordResponse(FIRST, Optional.of(table(OLDER, 5)));
        query.recordResponse(SECOND, Optional.empty());
        assertThat(query.predecessorTable()).isEmpty();
    }

    @Test
    void anOlderTableIsNotUsedIfANewerOneIsIncomplete() {
        query.recordResponse(FIRST, Optional.of(table(OLDER, 500)));
        query.recordResponse(SECOND, Optional.of(table(NEWER, 5)));
        assertThat(query.predecessorTable()).isEmpty();
    }

    private static SealedTable table(Incarnation incarnation, long sealedMillis) {
        ScopedKey key = new ScopedKey(new CallerName("station-7"), new IdempotencyKey("a"));
        KeyTableEntry entry = new KeyTableEntry(key, new Fingerprint("aa"), KeyState.UNKNOWN, 0, Optional.empty());
        return new SealedTable(HOME, incarnation, List.of(entry), 1_000, sealedMillis, Set.of(FIRST, SECOND));
    }
}
