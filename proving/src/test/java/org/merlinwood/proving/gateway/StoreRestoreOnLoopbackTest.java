package org.merlinwood.proving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.platform.standin.InstanceDocuments;

/** The store is restored from a backup while an entry serves, over real connections. */
final class StoreRestoreOnLoopbackTest {

    /** Time after which what the store says holds, in milliseconds. */
    private static final long SETTLE_MILLIS = 2_000;

    private static final long BACKUP_AGE_MILLIS = 600;

    private EntryFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new EntryFixture(1);
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private static String configuration(long version, String bookingPrefix) {
        return InstanceDocuments.configuration(version).replace("/book/", bookingPrefix);
    }

    /** Guards against an entry that ignores the restored store until its revisions have caught up. */
    @Test
    void changeBehindARestoreIsInForceAlthoughItsRevisionWasGivenOutBefore() throws Exception {
        TimeUnit.MILLISECONDS.sleep(BACKUP_AGE_MILLIS);
        for (long version = 2; version <= 9; version++) {
            fixture.store.configure(configuration(version, "/v" + version + "/"));
        }
        EntryFixture.await(() -> fixture.send("/v9/").status() == 200);
        fixture.store.restore(BACKUP_AGE_MILLIS);
        fixture.store.configure(configuration(10, "/v10/"));
        EntryFixture.await(() -> fixture.send("/v10/").status() == 200);
    }

    /** Guards against a change that reverts: the configuration of the backup is older than the one in force. */
    @Test
    void configurationInForceStaysWhenTheBackupHasAnOlderOne() throws Exception {
        TimeUnit.MILLISECONDS.sleep(BACKUP_AGE_MILLIS);
        fixture.store.configure(configuration(2, "/write/"));
        EntryFixture.await(() -> fixture.send("/write/").status() == 200);
        fixture.store.restore(BACKUP_AGE_MILLIS);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS + BACKUP_AGE_MILLIS);
        while (System.nanoTime() < untilNanos) {
            assertThat(fixture.send("/write/").status()).isEqualTo(200);
        }
    }

    /** An instance that the backup lacks serves on, and is gone only if it doesn't write again. */
    @Test
    void instanceThatTheBackupLacksServesOnUntilItsTimeToWriteAgainHasPassed() throws Exception {
        TimeUnit.MILLISECONDS.sleep(BACKUP_AGE_MILLIS);
        fixture.addInstance();
        fixture.addInstance();
        EntryFixture.await(() -> fixture.readsSucceedAt(1));
        EntryFixture.await(() -> fixture.readsSucceedAt(2));
        fixture.store.restore(BACKUP_AGE_MILLIS);
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
