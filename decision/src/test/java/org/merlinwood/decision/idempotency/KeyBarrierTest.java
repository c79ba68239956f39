package org.merlinwood.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;

/** Restarts, moves of homes and skipped revisions, on the clock of the test. */
final class KeyBarrierTest {

    private static final long HORIZON_MILLIS = 600_000;
    private static final long CLOCK_BOUND_MILLIS = 2_000;
    private static final long SEALED_MILLIS = 4_000;
    private static final ServiceName SERVICE = new ServiceName("ledger");
    private static final CallerName CALLER = new CallerName("station-7");
    private static final SharedKey SECRET = new SharedKey(1, "11".repeat(32));
    private static final Incarnation OWN = new Incarnation(1);
    private static final Incarnation PREDECESSOR = new Incarnation(2);
    private static final InstanceName SELF = new InstanceName("ledger-1");
    private static final InstanceName OLD_HOME = new InstanceName("ledger-2");
    private static final InstanceName THIRD = new InstanceName("ledger-3");

    private final ManualMillisClock clock = new ManualMillisClock(1_700_000_000_000L);
    private final HomeHistory chain = new HomeHistory(SELF, clock);
    private final KeyBarrier barrier = new KeyBarrier(SELF, OWN, List.of(SECRET), clock, chain);

    @BeforeEach
    void start() {
        inForce(5, Set.of(SELF));
    }

    // ------------------------------------------------------------------ restart

    @Test
    void aMintedKeyOfThisIncarnationRuns() {
        assertRuns(minted(SELF, OWN));
    }

    @Test
    void aMintedKeyOfAnotherIncarnationIsUnknownForGood() {
        assertWithheld(minted(SELF, PREDECESSOR), ResultCode.OUTCOME_UNKNOWN);
        clock.advanceMillis(HORIZON_MILLIS / 2);
        assertWithheld(minted(SELF, PREDECESSOR), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void aMintedKeyOfAPredecessorWhoseTableWasTakenOverRuns() {
        barrier.tableAdopted(sealedTable(HORIZON_MILLIS));
        assertRuns(minted(SELF, PREDECESSOR));
    }

    @Test
    void aMintedKeyOfAnotherInstanceDoesNotRunHere() {
        assertThat(barrier.checkBelongsHere(scoped(minted(OLD_HOME, OWN)))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.KEY_HOME_UNREACHABLE);
    }

    @Test
    void aMintedKeyOlderThanTheHorizonHasExpired() {
        IdempotencyKey key = minted(SELF, OWN);
        clock.advanceMillis(HORIZON_MILLIS - CLOCK_BOUND_MILLIS);
        assertThat(barrier.checkBelongsHere(scoped(key)).orElseThrow().code()).isEqualTo(ResultCode.KEY_EXPIRED);
    }

    @Test
    void anOwnKeyIsWithheldForTheHorizonAfterARestart() {
        IdempotencyKey key = new IdempotencyKey("booking-1");
        assertWithheld(key, ResultCode.KEY_WITHHELD_AFTER_RESTART);
        clock.advanceMillis(HORIZON_MILLIS - 1);
        assertWithheld(key, ResultCode.KEY_WITHHELD_AFTER_RESTART);
        clock.advanceMillis(1);
        assertRuns(key);
    }

    @Test
    void anOwnKeyThatProvesToBeYoungerRuns() {
        assertWithheld(versionSeven(clock.wallMillis()), ResultCode.KEY_WITHHELD_AFTER_RESTART);
        assertWithheld(versionSeven(clock.wallMillis() + CLOCK_BOUND_MILLIS), ResultCode.KEY_WITHHELD_AFTER_RESTART);
        assertRuns(versionSeven(clock.wallMillis() + CLOCK_BOUND_MILLIS + 1));
    }

    @Test
    void aTakenOverTableLiftsTheBarrierAsFarBackAsItIsComplete() {
        barrier.tableAdopted(sealedTable(HORIZON_MILLIS / 2));
        assertWithheld(new IdempotencyKey("booking-1"), ResultCode.KEY_WITHHELD_AFTER_RESTART);
        clock.advanceMillis(HORIZON_MILLIS / 2);
        assertRuns(new IdempotencyKey("booking-1"));
    }

    @Test
    void aKeyMadeBetweenTheSealingAndTheStartIsWithheld() {
        barrier.tableAdopted(sealedTable(HORIZON_MILLIS));
        assertRuns(new IdempotencyKey("booking-1"));
        assertRuns(versionSeven(clock.wallMillis() - SEALED_MILLIS - CLOCK_BOUND_MILLIS - 1));
        assertWithheld(versionSeven(clock.wallMillis() - SEALED_MILLIS / 2), ResultCode.KEY_WITHHELD_AFTER_RESTART);
        assertRuns(versionSeven(clock.wallMillis() + CLOCK_BOUND_MILLIS + 1));
    }

    // ------------------------------------------------------------------ moves of homes

    @Test
    void aMovedKeyIsWithheldUntilItsOldHomeHasHandedOver() {
        IdempotencyKey key = keyMovedFrom(OLD_HOME, Set.of(OLD_HOME), Set.of(SELF, OLD_HOME));
        moveHere();
        assertWithheld(key, ResultCode.KEY_WITHHELD_FOR_HANDOVER);
        chain.recordHandover(OLD_HOME, 6, HORIZON_MILLIS);
        assertWithheld(key, ResultCode.KEY_WITHHELD_FOR_HANDOVER);
        chain.recordHandover(OLD_HOME, 7, HORIZON_MILLIS);
        assertRuns(key);
    }

    @Test
    void aMovedKeyIsWithheldBeyondTheHorizonWhileItsOldHomeIsListed() {
        IdempotencyKey key = keyMovedFrom(OLD_HOME, Set.of(OLD_HOME), Set.of(SELF, OLD_HOME));
        moveHere();
        clock.advanceMillis(3 * HORIZON_MILLIS);
        inForce(8, Set.of(SELF, OLD_HOME));
        assertWithheld(key, ResultCode.KEY_WITHHELD_FOR_HANDOVER);
    }

    @Test
    void aKeyThatMovedAwayIsRefusedAtItsOldHomeFromTheNewRevisionOn() {
        clock.advanceMillis(HORIZON_MILLIS);
        IdempotencyKey key = keyOf(OLD_HOME, Set.of(SELF, OLD_HOME));
        assertRuns(key);
        inForce(6, Set.of(SELF, OLD_HOME));
        assertThat(barrier.checkBelongsHere(scoped(key)).orElseThrow().code())
                .isEqualTo(ResultCode.KEY_HOME_UNREACHABLE);
    }

    @Test
    void aRetiredHomeIsNotWaitedFor() {
        IdempotencyKey key = keyMovedFrom(OLD_HOME, Set.of(OLD_HOME), Set.of(SELF, OLD_HOME));
        moveHere();
        chain.applyInventory(8, Set.of(SELF), Set.of(OLD_HOME), Set.of(SELF, OLD_HOME), HORIZON_MILLIS);
        configure(Set.of(SELF));
        assertRuns(key);
    }

    @Test
    void whatTheOldHomeCanNotKnowIsWithheld() {
        IdempotencyKey key = keyMovedFrom(OLD_HOME, Set.of(OLD_HOME), Set.of(SELF, OLD_HOME));
        moveHere();
        chain.recordHandover(OLD_HOME, 7, HORIZON_MILLIS / 2);
        assertWithheld(key, ResultCode.KEY_WITHHELD_AFTER_RESTART);
        clock.advanceMillis(HORIZON_MILLIS / 2);
        assertRuns(key);
    }

    @Test
    void aKeyThatNeverMovedIsNotWithheldForAHandover() {
        clock.advanceMillis(HORIZON_MILLIS);
        inForce(6, Set.of(SELF, OLD_HOME));
        IdempotencyKey key = keyMovedFrom(SELF, Set.of(SELF), Set.of(SELF, OLD_HOME));
        assertRuns(key);
    }

    @Test
    void theFirstInventoryOfAYoungProcessMayHaveMovedKeysHere() {
        HomeHistory young = new HomeHistory(SELF, clock);
        young.applyInventory(9, Set.of(SELF, OLD_HOME, THIRD), Set.of(), Set.of(SELF, OLD_HOME, THIRD), HORIZON_MILLIS);
        assertThat(young.isComplete()).isFalse();
        assertThat(young.instancesToQuery()).containsExactlyInAnyOrder(OLD_HOME, THIRD);
        young.addPeerSpans(OLD_HOME, List.of(new HomeSpan(9, 9, Set.of(SELF, OLD_HOME, THIRD), 0)), 5);
        assertThat(young.isComplete()).isFalse();
        young.addPeerSpans(THIRD, List.of(new HomeSpan(3, 8, Set.of(OLD_HOME, THIRD), 5)), HORIZON_MILLIS);
        assertThat(young.isComplete()).isTrue();
        assertThat(young.instancesToQuery()).containsExactlyInAnyOrder(OLD_HOME, THIRD);
    }

    // ------------------------------------------------------------------ skipped revisions

    @Test
    void aSkippedRevisionWithholdsUntilAPeerTellsOfIt() {
        clock.advanceMillis(HORIZON_MILLIS);
        inForce(7, Set.of(SELF));
        IdempotencyKey key = new IdempotencyKey("booking-1");
        assertWithheld(key, ResultCode.KEY_WITHHELD_FOR_HANDOVER);
        chain.addPeerSpans(THIRD, List.of(new HomeSpan(6, 6, Set.of(SELF), 10)), 0);
        assertRuns(key);
    }

    @Test
    void aHomeThatOnlyASkippedRevisionNamedHasToHandOver() {
        clock.advanceMillis(HORIZON_MILLIS);
        chain.applyInventory(7, Set.of(SELF), Set.of(), Set.of(SELF, OLD_HOME), HORIZON_MILLIS);
        IdempotencyKey key = keyMovedFrom(OLD_HOME, Set.of(SELF, OLD_HOME), Set.of(SELF));
        chain.addPeerSpans(THIRD, List.of(new HomeSpan(6, 6, Set.of(SELF, OLD_HOME), 10)), 0);
        assertThat(chain.instancesToQuery()).containsExactly(OLD_HOME);
        assertWithheld(key, ResultCode.KEY_WITHHELD_FOR_HANDOVER);
        chain.recordHandover(OLD_HOME, 7, HORIZON_MILLIS);
        assertRuns(key);
    }

    @Test
    void aSkippedRevisionThatNobodyKnowsWithholdsForTheHorizon() {
        clock.advanceMillis(HORIZON_MILLIS);
        inForce(7, Set.of(SELF));
        clock.advanceMillis(HORIZON_MILLIS - 1);
        assertWithheld(new IdempotencyKey("booking-1"), ResultCode.KEY_WITHHELD_FOR_HANDOVER);
        clock.advanceMillis(1);
        assertRuns(new IdempotencyKey("booking-1"));
    }

    // ------------------------------------------------------------------ internals

    private static SealedTable sealedTable(long completeMillis) {
        return new SealedTable(SELF, PREDECESSOR, List.of(), completeMillis, SEALED_MILLIS, Set.of(OLD_HOME));
    }

    /** This instance is listed from revision 7 on, long after its process began. */
    private void moveHere() {
        clock.advanceMillis(HORIZON_MILLIS);
        inForce(6, Set.of(OLD_HOME));
        clock.advanceMillis(HORIZON_MILLIS);
        inForce(7, Set.of(SELF, OLD_HOME));
    }

    private void inForce(long revision, Set<InstanceName> homes) {
        chain.applyInventory(revision, homes, Set.of(), Set.of(SELF, OLD_HOME, THIRD), HORIZON_MILLIS);
        configure(homes);
    }

    private void configure(Set<InstanceName> homes) {
        barrier.configure(SERVICE, homes, new KeyBarrierLimits(HORIZON_MILLIS, CLOCK_BOUND_MILLIS));
    }

    private void assertRuns(IdempotencyKey key) {
        assertThat(barrier.checkBelongsHere(scoped(key))).isEmpty();
        assertThat(barrier.checkMayRun(scoped(key))).isEmpty();
    }

    private void assertWithheld(IdempotencyKey key, ResultCode code) {
        assertThat(barrier.checkMayRun(scoped(key)).orElseThrow().code()).isEqualTo(code);
    }

    private static IdempotencyKey keyMovedFrom(InstanceName from, Set<InstanceName> before, Set<InstanceName> after) {
        return IntStream.range(0, 1_000)
                .mapToObj(number -> new IdempotencyKey("booking-" + number))
                .filter(key -> KeyHome.among(key, before).orElseThrow().equals(from))
                .filter(key -> KeyHome.among(key, after).orElseThrow().equals(SELF))
                .findFirst()
                .orElseThrow();
    }

    private static IdempotencyKey keyOf(InstanceName home, Set<InstanceName> homes) {
        return IntStream.range(0, 1_000)
                .mapToObj(number -> new IdempotencyKey("booking-" + number))
                .filter(key -> KeyHome.among(key, homes).orElseThrow().equals(home))
                .findFirst()
                .orElseThrow();
    }

    private IdempotencyKey minted(InstanceName instance, Incarnation incarnation) {
        return MintedKeys.mint(SERVICE, instance, incarnation, CALLER, clock.wallMillis(), 9, SECRET);
    }

    private static IdempotencyKey versionSeven(long wallMillis) {
        UUID uuid = new UUID(wallMillis << 16 | 0x7ABC, 0x8000_0000_0000_0001L);
        return new IdempotencyKey(uuid.toString());
    }

    private static ScopedKey scoped(IdempotencyKey key) {
        return new ScopedKey(CALLER, key);
    }
}
