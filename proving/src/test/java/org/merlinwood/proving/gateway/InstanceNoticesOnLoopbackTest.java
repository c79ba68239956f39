package org.merlinwood.proving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpResponse;

/** Instances that say in a response that they leave, or for how long they want no request, over real connections. */
final class InstanceNoticesOnLoopbackTest {

    private static final int ROUNDS = 10;
    private static final long DECLINED_MILLIS = 4_000;

    private EntryFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new EntryFixture(2);
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Guards against an entry that needs the store to know that an instance leaves. */
    @Test
    void leavingInstanceGetsNothingFromAnEntryThatIsCutOffFromTheStore() throws Exception {
        fixture.store.close();
        fixture.instance(0).leaving(true);
        EntryFixture.await(() -> fixture.readsSucceedAt(0));
        for (int round = 0; round < ROUNDS; round++) {
            assertThat(fixture.readTogether()).containsOnly(200);
            assertThat(fixture.lastRanAt(0)).isFalse();
        }
    }

    @Test
    void successorOfALeavingInstanceGetsRequests() throws Exception {
        fixture.instance(0).leaving(true);
        EntryFixture.await(() -> fixture.readsSucceedAt(0));
        fixture.addInstance();
        EntryFixture.await(() -> fixture.readsSucceedAt(2));
        assertThat(fixture.lastRanAt(0)).isFalse();
    }

    @Test
    void requestIsRefusedAtOnceWhenBothInstancesLeave() throws Exception {
        fixture.instance(0).leaving(true);
        fixture.instance(1).leaving(true);
        EntryFixture.await(() -> fixture.send("/read/").status() == 503);
        HttpResponse refused = fixture.send("/read/");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(HttpHeader.find(refused.headers(), "Retry-After")).isPresent();
    }

    /** Guards against an entry that forgets the stated time when it can't reach the store. */
    @Test
    void decliningInstanceGetsNothingMoreFromAnEntryThatIsCutOffFromTheStore() throws Exception {
        fixture.store.close();
        assertDecliningInstanceIsLeftAlone();
    }

    /** Those that were sent together before the first response may reach it. */
    @Test
    void decliningInstanceGetsNothingMoreUntilTheTimeHasPassed() throws Exception {
        assertDecliningInstanceIsLeftAlone();
    }

    private void assertDecliningInstanceIsLeftAlone() throws Exception {
        fixture.instance(0).decline(DECLINED_MILLIS);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DECLINED_MILLIS);
        EntryFixture.await(() -> {
            fixture.readTogether();
            return fixture.instance(0).declinedCount() > 0;
        });
        long declinedFirst = fixture.instance(0).declinedCount();
        int rounds = 0;
        while (System.nanoTime() < untilNanos) {
            assertThat(fixture.readTogether()).containsOnly(200);
            assertThat(fixture.lastRanAt(0)).isFalse();
            rounds++;
        }
        assertThat(rounds).as("rounds within the time").isPositive();
        assertThat(fixture.instance(0).declinedCount()).isEqualTo(declinedFirst);
        EntryFixture.await(() -> fixture.readsSucceedAt(0));
    }
}
