package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/** The choice among instances that report how long work takes there. */
final class PlainPlacementTest {

    private static final int CHOICES = 400;

    private final InstancePoolFixture fixture = new InstancePoolFixture();

    PlainPlacementTest() {
        fixture.clock.advanceMillis(10_000);
        fixture.register(Stage.PLAIN, "a", "b");
    }

    /** Guards against a changed choice where instances report three figures, malformed fourth ones or none. */
    @ParameterizedTest
    @ValueSource(ints = {0, -100})
    void withoutReportedSpeedTheNumberOfRequestsDecides(int workPercent) {
        fixture.pool.recordLoad("a", new UpstreamLoad(3, 0, 6, workPercent));
        fixture.pool.sharedWork().updatePeer(peerStatus(new EntryReport.InstanceLoad("b", 6, 20, 6, workPercent, 0)));
        assertThat(share("b")).isEqualTo(1);
    }

    /** Guards against a queue at a slow instance that has fewer requests than a fast one. */
    @Test
    void fasterInstanceIsPreferredUntilItCompletesLater() {
        report("a", 6, 0, 180);
        report("b", 6, 3, 80);
        assertThat(share("b")).isEqualTo(1);
        report("b", 6, 20, 80);
        assertThat(share("b")).isZero();
    }

    @Test
    void reportRelayedByAnotherEntryCounts() {
        fixture.pool.sharedWork().updatePeer(peerStatus(new EntryReport.InstanceLoad("a", 6, 10, 6, 100, 20)));
        assertThat(share("b")).isEqualTo(1);
    }

    /** Guards against many entries that all send to the instance that looked best some time ago. */
    @Test
    void olderReportsSpreadTheChoices() {
        report("a", 6, 2, 100);
        report("b", 6, 0, 100);
        assertThat(share("b")).isEqualTo(1);
        fixture.clock.advanceMillis(80);
        assertThat(share("b")).isBetween(0.5, 0.9);
    }

    /** A report that is too old says nothing, and the number of requests decides again. */
    @Test
    void outdatedReportsAreIgnored() {
        report("a", 6, 20, 100);
        report("b", 0, 0, 100);
        fixture.clock.advanceMillis(ReportedLoad.MAXIMUM_AGE_MILLIS + 1);
        fixture.pool.beginPlainAttempt("b");
        assertThat(share("a")).isEqualTo(1);
    }

    @Test
    void ownRequestsSinceReportCount() {
        report("a", 6, 1, 100);
        report("b", 6, 0, 100);
        fixture.clock.advanceMillis(1);
        for (int index = 0; index < 3; index++) {
            fixture.pool.beginPlainAttempt("b");
        }
        assertThat(share("a")).isEqualTo(1);
    }

    /** Guards against an instance that reports a high speed and few requests because it fails them. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void failingInstanceIsNotPreferredForItsSpeed(boolean errorResponses) {
        report("a", 0, 0, 10);
        report("b", 6, 2, 120);
        for (int index = 0; index < 10; index++) {
            if (errorResponses) {
                fixture.pool.recordErrorResponse("a");
            } else {
                fixture.pool.recordFailure("a");
            }
        }
        report("a", 0, 0, 80);
        assertThat(share("b")).isGreaterThan(0.9);
    }

    @Test
    void retryGoesToInstanceThatWasNotTried() {
        report("a", 6, 20, 100);
        report("b", 0, 0, 100);
        assertThat(fixture.pool.choosePlain(InstancePoolFixture.SERVICE, Optional.empty(), Set.of("b")))
                .map(UpstreamInstance::identifier)
                .contains("a");
        assertThat(fixture.pool.choosePlain(InstancePoolFixture.SERVICE, Optional.empty(), Set.of("a", "b")))
                .isEmpty();
    }

    /** The time of work is learned from responses, divided by how much longer they were expected to take. */
    @Test
    void forecastFollowsObservedTimes() {
        report("a", 6, 0, 200);
        for (int index = 0; index < 20; index++) {
            ActivePlainAttempt attempt = fixture.pool.beginPlainAttempt("a");
            fixture.pool.plainForecasts().recordSuccess(attempt, 140);
            fixture.pool.endPlainAttempt(attempt);
        }
        report("b", 6, 5, 100);
        CompletionForecast forecast =
                fixture.pool.beginPlainAttempt("b").forecast().orElseThrow();
        assertThat(forecast.expectedMillis()).isBetween(110L, 130L);
        assertThat(forecast.reportAgeMillis()).isZero();
    }

    @Test
    void withoutReportThereIsNoForecast() {
        assertThat(fixture.pool.beginPlainAttempt("a").forecast()).isEmpty();
        assertThat(fixture.pool.beginPlainAttempt("unregistered").forecast()).isEmpty();
    }

    private void report(String identifier, int running, int waiting, int workPercent) {
        fixture.pool.recordLoad(identifier, new UpstreamLoad(running, waiting, 6, workPercent));
    }

    private double share(String identifier) {
        List<String> chosen = new ArrayList<>();
        for (int index = 0; index < CHOICES; index++) {
            fixture.pool
                    .choosePlain(InstancePoolFixture.SERVICE, Optional.empty(), Set.of())
                    .map(UpstreamInstance::identifier)
                    .ifPresent(chosen::add);
        }
        return Collections.frequency(chosen, identifier) / (double) CHOICES;
    }

    private static EntryStatus peerStatus(EntryReport.InstanceLoad load) {
        return new EntryStatus(
                "peer",
                List.of(),
                StorePosition.START,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                new EntryReport(1, 1, EntryReport.AllotmentReport.EMPTY, List.of(load), List.of()));
    }
}
