package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.gateway.decision.MemoryWaitPolicy.Decision;
import org.merlinwood.gateway.decision.MemoryWaitPolicy.Situation;

final class StreamPatienceTest {

    private static final long TIME_LEFT_MILLIS = 12_000;

    @ParameterizedTest(name = "waited {0} ms, room in {1} ms, {2} ahead of {3} instances")
    @CsvSource({
        "0, 0, 0, 4, true",
        "0, 900, 0, 4, true",
        "0, 900, 12, 4, false",
        "1700, 200, 0, 4, false",
        "0, 5000, 0, 4, false",
    })
    void aRequestWaitsOnlyWhereRoomIsNear(long waited, long untilRoom, int ahead, int instances, boolean waits) {
        Situation situation =
                new Situation(waited, false, OptionalLong.of(untilRoom), ahead, instances, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(situation) instanceof Decision.Wait).isEqualTo(waits);
    }

    @Test
    void withNoRoomInSightTheRefusalComesAtOnce() {
        Situation situation = new Situation(0, false, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(situation)).isInstanceOf(Decision.Refuse.class);
    }

    @Test
    void aStreamThatHasBegunIsKeptForAWhile() {
        Situation interrupted = new Situation(2_000, true, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        Situation tooLong = new Situation(3_000, true, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(interrupted)).isInstanceOf(Decision.Wait.class);
        assertThat(MemoryWaitPolicy.decide(tooLong)).isInstanceOf(Decision.Refuse.class);
    }

    @ParameterizedTest
    @CsvSource({"0, 12000", "900, 12000", "9000, 12000", "0, 300"})
    void callersComeBackSpreadAndWithinWhatTheyFollow(long expected, long timeLeft) {
        long followed = Math.max(200, Math.round(timeLeft * 0.33));
        LongStream returns =
                LongStream.range(0, 200).map(spread -> MemoryWaitPolicy.retryAfterMillis(expected, timeLeft, spread));
        assertThat(returns.boxed().toList())
                .allMatch(millis -> millis > 0 && millis <= followed)
                .satisfies(all -> assertThat(all.stream().distinct().count()).isGreaterThan(20));
    }
}
