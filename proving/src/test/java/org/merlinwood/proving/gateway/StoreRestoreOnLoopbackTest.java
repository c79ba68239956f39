package org.merlinwood.proving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.platform.standin.InstanceDocuments;

/** The store is restored from a backup while an entry serves, over real connections. */
final class StoreRestoreOnLoopbackTest {

    /** Time after which what the store says holds, in milliseconds. */
    private static final long SETTLE_MILLIS = 2_000;

    /** Time for which a state is observed behind the settling time, in milliseconds. */
    private static final long AFTER_SETTLING_MILLIS = 600;

    /** Time between the last write that the backup has and the first that it lacks, in milliseconds. */
    private static final long BACKUP_GAP_MILLIS = 20;

    private EntryFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new EntryFixture(1);
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Returns the time of a backup that has all writes so far and lacks all later ones. */
    private static long backup() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(BACKUP_GAP_MILLIS);
        long backupMillis = SystemMillisClock.shared().monotonicMillis();
        TimeUnit.MILLISECONDS.sleep(BACKUP_GAP_MILLIS);
        return backupMillis;
    }

    private static String configuration(long version, String bookingPrefix) {
        return InstanceDocuments.configuration(version).replace("/book/", bookingPrefix);
    }

    /** Guards against an entry that ignores the restored store until its revisions have caught up. */
    @Test
    void changeBehindARestoreIsInForceAlthoughItsRevisionWasGivenOutBefore() throws Exception {
        long backupMillis = backup();
        for (long version = 2; version <= 9; version++) {
            fixture.store.configure(configuration(version, "/v" + version + "/"));
        }
        EntryFixture.await(() -> fixture.send("/v9/").status() == 200);
        fixture.store.restoreTo(backupMillis);
        fixture.store.configure(configuration(10, "/v10/"));
        EntryFixture.await(() -> fixture.send("/v10/").status() == 200);
    }

    /** Guards against an entry that follows the first of two restores only, or takes the second for an old answer. */
    @Test
    void changeBehindTheSecondOfTwoRestoresIsInForce() throws Exception {
        long backupMillis = backup();
        fixture.store.configure(configuration(2, "/v2/"));
        EntryFixture.await(() -> fixture.send("/v2/").status() == 200);
        fixture.store.restoreTo(backupMillis);
        fixture.store.configure(configuration(3, "/v3/"));
        EntryFixture.await(() -> fixture.send("/v3/").status() == 200);
        fixture.store.restoreTo(backupMillis);
        fixture.store.configure(configuration(4, "/v4/"));
        EntryFixture.await(() -> fixture.send("/v4/").status() == 200);
        assertThat(fixture.readsSucceedAt(0)).isTrue();
    }

    /** Guards against an instance that gets work again since the backup still has it as ready. */
    @Test
    void instanceThatLeavesGetsNothingWhenTheBackupHasItAsReady() throws Exception {
        fixture.addInstance();
        EntryFixture.await(() -> fixture.readsSucceedAt(1));
        long backupMillis = backup();
        fixture.instance(0).leaving(true);
        fixture.register(0, true);
        EntryFixture.await(() -> fixture.readsSucceed() && !fixture.lastRanAt(0));
        fixture.store.restoreTo(backupMillis);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS - AFTER_SETTLING_MILLIS);
        while (System.nanoTime() < untilNanos) {
            assertThat(fixture.readsSucceed()).isTrue();
            assertThat(fixture.lastRanAt(0)).isFalse();
        }
    }

    /** Guards against a change that reverts: the configuration of the backup is older than the one in force. */
    @Test
    void configurationInForceStaysWhenTheBackupHasAnOlderOne() throws Exception {
        long backupMillis = backup();
        fixture.store.configure(configuration(2, "/write/"));
        EntryFixture.await(() -> fixture.send("/write/").status() == 200);
        fixture.store.restoreTo(backupMillis);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS + AFTER_SETTLING_MILLIS);
        while (System.nanoTime() < untilNanos) {
            assertThat(fixture.send("/write/").status()).isEqualTo(200);
        }
        assertThat(fixture.send("/write/").status()).isEqualTo(200);
    }

    /** An instance that the backup lacks serves on, and is gone only if it doesn't write again. */
    @Test
    void instanceThatTheBackupLacksServesOnUntilItsTimeToWriteAgainHasPassed() throws Exception {
        long backupMillis = backup();
        fixture.addInstance();
        fixture.addInstance();
        EntryFixture.await(() -> fixture.readsSucceedAt(1));
        EntryFixture.await(() -> fixture.readsSucceedAt(2));
        fixture.store.restoreTo(backupMillis);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS / 4);
        EntryFixture.await(() -> fixture.readsSucceedAt(1));
        fixture.register(2);
        TimeUnit.MILLISECONDS.sleep(2 * SETTLE_MILLIS);
        for (int round = 0; round < 10; round++) {
            assertThat(fixture.readsSucceed()).isTrue();
            assertThat(fixture.lastRanAt(1)).isFalse();
        }
        EntryFixture.await(() -> fixture.readsSucceedAt(2));
    }
}
