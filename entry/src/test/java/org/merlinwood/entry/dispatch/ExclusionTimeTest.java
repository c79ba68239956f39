package org.merlinwood.entry.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/** Guards against begun responses that are cut while the engine of an excluded instance serves again. */
final class ExclusionTimeTest {

    @ParameterizedTest
    @CsvSource({
        "UPSTREAM_UNREACHABLE,-1,1000",
        "UPSTREAM_UNREACHABLE,0,1000",
        "UPSTREAM_UNREACHABLE,300,300",
        "UPSTREAM_UNREACHABLE,60000,1000",
        "PEER_SILENT,300,1000",
        "AUTHENTICATION_FAILED,-1,1000",
        "DRAINING,100,5000",
        "NO_CAPACITY,300,0",
        "UPSTREAM_CRASHED,-1,0"
    })
    void instanceIsExcludedForTheStatedTime(ResultCode code, long retryAfterMillis, long expectedMillis) {
        Failure failure = retryAfterMillis < 0
                ? Failure.of(code, "refused")
                : Failure.retryable(code, "refused", retryAfterMillis);
        assertThat(ExclusionTime.millisAfter(failure)).isEqualTo(expectedMillis);
    }
}
