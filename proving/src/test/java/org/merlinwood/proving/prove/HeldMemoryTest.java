package org.merlinwood.proving.prove;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.standin.engine.EngineRun;

/**
 * Guards against a proof that overlooks engine memory of callers who are gone: held too long, not released, or taken
 * again by a stream that an entry resumes for them.
 */
final class HeldMemoryTest {

    private static final int STREAMS = 24;
    private static final long EXIT_AT_MILLIS = 100_000;
    private static final long STARTED_BEFORE_MILLIS = 700;
    private static final long RELEASED_AFTER_MILLIS = 300;

    /** Times are relative to the disconnection of the callers; a release at 0 stands for none. */
    @ParameterizedTest
    @CsvSource({
        "-700,300,PASS",
        "-700,1990,PASS",
        "-700,0,FAIL",
        "900,1200,PASS",
        "1001,1200,FAIL",
        "1298,1398,FAIL",
        "1586,0,FAIL"
    })
    void oneMoreRunIsJudgedByItsStartAndRelease(long startMillis, long releaseMillis, Verdict verdict) {
        List<EngineRun> runs = runsReleasedAfter(RELEASED_AFTER_MILLIS);
        runs.add(run(startMillis, releaseMillis));
        assertThat(HeldMemory.judge(runs, EXIT_AT_MILLIS, 0).verdict()).isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({"2000,0,PASS", "2010,0,FAIL", "3990,2000,PASS", "4010,2000,FAIL"})
    void targetHoldsForNinetyFiveInHundred(long releaseMillis, long allowedMillis, Verdict verdict) {
        assertThat(HeldMemory.judge(runsReleasedAfter(releaseMillis), EXIT_AT_MILLIS, allowedMillis)
                        .verdict())
                .isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({"11,UNPROVED", "12,PASS"})
    void fewerThanHalfOfTheStreamsProveNothing(int runs, Verdict verdict) {
        List<EngineRun> some = runsReleasedAfter(RELEASED_AFTER_MILLIS).subList(0, runs);
        assertThat(HeldMemory.judge(some, EXIT_AT_MILLIS, 0).verdict()).isEqualTo(verdict);
    }

    private static List<EngineRun> runsReleasedAfter(long releaseMillis) {
        List<EngineRun> runs = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            runs.add(run(-STARTED_BEFORE_MILLIS, releaseMillis));
        }
        return runs;
    }

    private static EngineRun run(long startMillis, long releaseMillis) {
        boolean isReleased = releaseMillis > 0;
        return new EngineRun(
                1,
                "request",
                "decode",
                "digest",
                1,
                1,
                0,
                1,
                EXIT_AT_MILLIS + startMillis,
                isReleased ? EXIT_AT_MILLIS + releaseMillis : 0,
                isReleased ? EngineRun.Outcome.CANCELLED : EngineRun.Outcome.RUNNING);
    }
}
