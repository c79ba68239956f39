package org.merlinwood.entry.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/** Guards against failed requests whose log line does not say which attempt failed, where and when. */
final class AttemptHistoryTest {

    private static final Failure FAILURE = Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "no connection");

    private final AttemptHistory history = new AttemptHistory();

    @Test
    void namesEachAttemptWithItsInstanceAndEnd() {
        history.requested(1, InstanceRole.DECODE, new InstanceName("decode-1"), 3);
        history.executed(1, 40);
        history.failed(1, ResultCode.UPSTREAM_CRASHED, 700);
        assertThat(history.describe(FAILURE))
                .isEqualTo(": no connection [1: DECODE decode-1 at 3 ms; 1 executed at 40 ms;"
                        + " 1 UPSTREAM_CRASHED at 700 ms]");
    }

    @Test
    void waitsInARowAreOneEntry() {
        history.waited(250, 10);
        history.waited(250, 260);
        assertThat(history.describe(FAILURE)).endsWith("[waits 500 ms from 10 ms]");
    }

    @Test
    void longHistoryIsBounded() {
        for (int attempt = 1; attempt <= AttemptHistory.MAXIMUM_ENTRIES + 3; attempt++) {
            history.failed(attempt, ResultCode.NO_CAPACITY, attempt);
        }
        assertThat(history.describe(FAILURE)).endsWith("64 NO_CAPACITY at 64 ms; 3 later entries omitted]");
    }
}
