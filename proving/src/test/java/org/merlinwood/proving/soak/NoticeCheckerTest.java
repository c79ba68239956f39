package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.platform.standin.Arrival;
import org.merlinwood.platform.standin.CallerCalls;

final class NoticeCheckerTest {

    private static final long START_MILLIS = 70_000;
    private static final long TOLD_MILLIS = 1_000;
    private static final long DECLINED_MILLIS = 3_000;
    private static final String INSTANCE = SoakDeployment.name(4);

    private final List<Observation> observations = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    /** Adds a request that a caller sends through an entry and that reaches the instance at once. */
    private void request(int entry, int start, long atMillis, long declinedMillis, boolean leaving) {
        String attempt = "a" + observations.size();
        observations.add(new Observation(
                attempt, CallerCalls.Kind.READ, entry, atMillis, 30, Observation.End.COMPLETE, 200, ""));
        arrivals.add(new Arrival(INSTANCE, start, attempt, START_MILLIS + atMillis, declinedMillis, leaving));
    }

    private List<String> violations(ScheduledFault... faults) {
        return NoticeChecker.violations(new FaultPlan(List.of(faults)), observations, arrivals, START_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({
        "3, 0, 600, 1", // three within the time
        "2, 0, 600, 0", // two are tolerated
        "3, 1, 600, 0", // another entry was told nothing
        "3, 0, 400, 0", // on their way
        "3, 0, 3000, 0", // the time is over
    })
    void requestsWithinANamedTimeAreReported(int requests, int entry, long afterMillis, int reported) {
        request(0, 1, TOLD_MILLIS, DECLINED_MILLIS, false);
        for (int request = 0; request < requests; request++) {
            request(entry, 1, TOLD_MILLIS + afterMillis, 0, false);
        }
        assertThat(violations()).hasSize(reported);
    }

    @ParameterizedTest
    @CsvSource({"0, 1, 2001, 1", "0, 1, 2000, 0", "0, 2, 2001, 0", "1, 1, 2001, 0"})
    void requestsToALeavingInstanceAreReported(int entry, int start, long afterMillis, int reported) {
        request(0, 1, TOLD_MILLIS, 0, true);
        request(entry, start, TOLD_MILLIS + afterMillis, 0, false);
        assertThat(violations()).hasSize(reported);
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultKind.class,
            names = {"ENTRY_KILLED", "ENTRY_PAUSED", "ENTRY_LEAVES", "INSTANCE_MUTE", "INSTANCE_RESET"})
    void entryThatForgotOrMissedTheResponseIsExcused(FaultKind kind) {
        request(0, 1, TOLD_MILLIS, DECLINED_MILLIS, true);
        for (int request = 0; request < 3; request++) {
            request(0, 1, TOLD_MILLIS + 2_500, 0, true);
        }
        int target = kind.target() == FaultKind.Target.ENTRY ? 0 : 4;
        assertThat(violations()).hasSize(2);
        assertThat(violations(new ScheduledFault(kind, target, TOLD_MILLIS + 100, 200)))
                .isEmpty();
        assertThat(violations(new ScheduledFault(kind, target + 1, TOLD_MILLIS + 100, 200)))
                .hasSize(2);
    }

    @Test
    void reloadOfAnEntryExcusesNothing() {
        request(0, 1, TOLD_MILLIS, 0, true);
        request(0, 1, TOLD_MILLIS + 2_500, 0, true);
        assertThat(violations(new ScheduledFault(FaultKind.ENTRY_RELOADS, 0, TOLD_MILLIS, 1_000)))
                .hasSize(1);
    }
}
