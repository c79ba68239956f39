package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class StreamOriginsTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final StreamOrigins origins = new StreamOrigins(clock);

    @Test
    void originIsKnownUntilItsCallerCannotComeBack() {
        origins.recordTold(new StreamOrigin("a", "v1", 1_000));
        clock.advanceMillis(999);
        assertThat(origins.versionOf("a")).contains("v1");
        clock.advanceMillis(1);
        assertThat(origins.versionOf("a")).isEmpty();
    }

    /** The last attempt that was sent may have brought the first event. */
    @Test
    void laterOriginReplacesEarlierOne() {
        origins.recordTold(new StreamOrigin("a", "v1", 1_000));
        origins.recordTold(new StreamOrigin("a", "v2", 1_000));
        assertThat(origins.versionOf("a")).contains("v2");
    }

    @Test
    void ownOriginsHaveTheRestOfTheirLifetimes() {
        origins.recordOwn(new StreamOrigin("a", "v1", 1_000));
        origins.recordTold(new StreamOrigin("b", "v1", 1_000));
        clock.advanceMillis(400);
        assertThat(origins.own()).containsExactly(new StreamOrigin("a", "v1", 600));
    }

    /** Guards against memory that grows with the streams that have been. */
    @Test
    void expiredAndOldestOriginsAreForgotten() {
        for (int number = 0; number < 10; number++) {
            origins.recordOwn(new StreamOrigin("early-" + number, "v1", 100));
        }
        clock.advanceMillis(100);
        for (int number = 0; number < StreamOrigins.MAXIMUM_ORIGINS + 5; number++) {
            origins.recordTold(new StreamOrigin("late-" + number, "v1", 1_000));
        }
        assertThat(origins.size()).isEqualTo(StreamOrigins.MAXIMUM_ORIGINS);
        assertThat(origins.versionOf("late-4")).isEmpty();
        assertThat(origins.versionOf("late-5")).contains("v1");
    }
}
