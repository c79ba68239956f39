package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.platform.standin.Arrival;
import org.merlinwood.platform.standin.CallerCalls;
import org.merlinwood.platform.standin.InstanceCrash;

final class CrashingPartCheckerTest {

    private static final long START_MILLIS = 10_000;
    private static final long LAST_CRASH_MILLIS = 5_000;
    private static final long LATE_MILLIS = LAST_CRASH_MILLIS + 3_001;
    private static final String PREFILL = SoakDeployment.name(0);
    private static final String DECODE = SoakDeployment.name(2);
    private static final ScheduledFault FAULT = new ScheduledFault(FaultKind.CRASHING_PART, 0, 2_000, 20_000);

    private final List<Observation> observations = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<InstanceCrash> crashes = new ArrayList<>();

    @ParameterizedTest(name = "{0} requests, {1} ms after the fifth crash, {2} crashes: {3} messages")
    @CsvSource({"3, 3001, 5, 0", "4, 3001, 5, 1", "4, 2999, 5, 0", "4, 3001, 4, 0"})
    void requestsWithPartThatComeTooLateAreReported(int requests, long afterMillis, int crashCount, int messages) {
        crash(crashCount);
        for (int request = 0; request < requests; request++) {
            crashingRequest(LAST_CRASH_MILLIS + afterMillis, DECODE);
        }
        assertThat(violations(FAULT)).hasSize(messages);
    }

    @Test
    void prefillAndDecodeOfOneAttemptAreOneRequestAndRepeatsCount() {
        crash(5);
        for (int request = 0; request < 3; request++) {
            crashingRequest(LATE_MILLIS, PREFILL, DECODE);
        }
        assertThat(violations(FAULT)).isEmpty();
        crashingRequest(LATE_MILLIS, PREFILL);
        assertThat(violations(FAULT)).singleElement().asString().contains("4 requests");
    }

    @Test
    void requestsFromEntryThatWasRestartedAreExcused() {
        crash(5);
        for (int request = 0; request < 9; request++) {
            crashingRequest(LATE_MILLIS, DECODE);
        }
        ScheduledFault killed = new ScheduledFault(FaultKind.ENTRY_KILLED, 0, LATE_MILLIS - 2_000, 500);
        assertThat(violations(FAULT, killed)).isEmpty();
    }

    @ParameterizedTest(name = "one in {0} sound requests begins: {1} messages")
    @CsvSource({"1, 0", "2, 0", "3, 1"})
    void soundRequestsThatAreNotServedAreReported(int beganEvery, int messages) {
        crash(5);
        for (int request = 0; request < 30; request++) {
            sound(10L * request, true);
            sound(LAST_CRASH_MILLIS + 6_000 + request, request % beganEvery == 0);
        }
        assertThat(violations(FAULT)).hasSize(messages);
    }

    private void crash(int count) {
        LongStream.rangeClosed(1, count)
                .map(number -> START_MILLIS + LAST_CRASH_MILLIS - count + number)
                .forEach(atMillis -> crashes.add(new InstanceCrash(DECODE, 1, "a", atMillis)));
    }

    private void crashingRequest(long atMillis, String... instances) {
        String attempt = "c" + observations.size();
        observe(attempt, atMillis, 502);
        for (String instance : instances) {
            arrivals.add(new Arrival(instance, 1, attempt, START_MILLIS + atMillis, 0, false));
        }
    }

    private void sound(long beganMillis, boolean began) {
        observe("s" + observations.size(), beganMillis, began ? 200 : 503);
    }

    private void observe(String attempt, long beganMillis, int status) {
        observations.add(new Observation(
                attempt, CallerCalls.Kind.STREAM, 0, beganMillis, 5, Observation.End.COMPLETE, status, "body"));
    }

    private List<String> violations(ScheduledFault... faults) {
        Set<String> crashing = Set.copyOf(observations.stream()
                .map(Observation::attempt)
                .filter(attempt -> attempt.startsWith("c"))
                .toList());
        return new CrashingPartChecker(
                        new FaultPlan(List.of(faults)), observations, crashing, arrivals, crashes, START_MILLIS)
                .violations();
    }
}
