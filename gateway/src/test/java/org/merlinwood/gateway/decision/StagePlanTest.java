package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

final class StagePlanTest {

    @ParameterizedTest(name = "{0} prefill, {1} decode, highest rate {2}, lowest rate {3}, {4} without capacity")
    @CsvSource(
            nullValues = "none",
            value = {
                "4, 6, 47, 40, 0, DECODE",
                "2, 8, 47, 40, 0, none",
                "3, 3, 38, 30, 0, DECODE",
                "2, 4, 45, 30, 0, none",
                "2, 4, 38, 30, 0, DECODE",
                "4, 6, 0, 0, 0, none",
                "1, 9, 94, 60, 0, PREFILL",
                "1, 9, 94, 20, 0, none",
                "1, 3, 94, 60, 0, none",
                "0, 9, 20, 10, 0, PREFILL",
            })
    void changesStageOfOneInstanceAccordingToPromptRate(
            int prefills, int decodes, double highestRate, double lowestRate, int withoutCapacity, Stage expected) {
        List<UpstreamInstance> instances = new ArrayList<>();
        add(instances, Stage.PREFILL, "v1", prefills);
        add(instances, Stage.DECODE, "v1", decodes);
        StagePlan.View view = new StagePlan.View(instances, highestRate, lowestRate, 50, withoutCapacity);
        assertThat(StagePlan.next(view).map(StagePlan.Change::stage)).isEqualTo(Optional.ofNullable(expected));
    }

    /** Right after traffic starts, the rate is still rising and does not predict the demand that follows. */
    @Test
    void risingRateHasNoStableMaximum() {
        ManualMillisClock clock = new ManualMillisClock(0);
        RateHistory history = new RateHistory(clock);
        for (int sample = 0; sample <= 100; sample++) {
            history.add(1 + sample);
            clock.advanceMillis(100);
        }
        assertThat(history.stableMaximum()).isZero();
    }

    @Test
    void steadyRateHasMaximumAndMinimumAfterTwoWindows() {
        ManualMillisClock clock = new ManualMillisClock(0);
        RateHistory history = new RateHistory(clock);
        for (int sample = 0; sample <= 100; sample++) {
            history.add(40 + sample % 3);
            clock.advanceMillis(100);
        }
        assertThat(history.stableMaximum()).isEqualTo(42);
        assertThat(history.minimum()).isEqualTo(40);
    }

    /** Guards against orders after which the streams of a version can't go on once its only instance is lost. */
    @ParameterizedTest(name = "decode instances: {0} of v1, {1} of v2; prompt rate {2}")
    @CsvSource({
        "4, 1, 38, DECODE, v2",
        "1, 4, 38, DECODE, v1",
        "4, 0, 38, DECODE, v2",
        "4, 2, 200, PREFILL, v1",
        "2, 3, 200, PREFILL, v2",
    })
    void versionWithTheFewestDecodeInstancesGetsTheNextOneAndNoneLosesItsSecond(
            int firstDecodes, int secondDecodes, double rate, Stage expected, String version) {
        List<UpstreamInstance> instances = new ArrayList<>();
        add(instances, Stage.PREFILL, "v1", 2);
        add(instances, Stage.PREFILL, "v2", 1);
        add(instances, Stage.DECODE, "v1", firstDecodes);
        add(instances, Stage.DECODE, "v2", secondDecodes);
        assertThat(StagePlan.next(new StagePlan.View(instances, rate, rate, 50, 0)))
                .hasValueSatisfying(change -> {
                    assertThat(change.stage()).isEqualTo(expected);
                    assertThat(change.instance().version()).isEqualTo(version);
                });
    }

    /** Guards against a version that loses its second decode instance although no other has one to spare. */
    @Test
    void noDecodeInstanceIsTakenWhereEachVersionHasTwo() {
        List<UpstreamInstance> instances = new ArrayList<>();
        add(instances, Stage.PREFILL, "v1", 1);
        add(instances, Stage.DECODE, "v1", 2);
        add(instances, Stage.DECODE, "v2", 2);
        assertThat(StagePlan.next(new StagePlan.View(instances, 200, 200, 50, 0)))
                .isEmpty();
    }

    private static void add(List<UpstreamInstance> instances, Stage stage, String version, int count) {
        for (int index = 0; index < count; index++) {
            instances.add(new UpstreamInstance(
                    stage + "-" + version + "-" + index,
                    "service",
                    new InetSocketAddress("127.0.0.1", 1_000 + index),
                    "domain-" + index % 3,
                    16,
                    false,
                    stage,
                    UpstreamInstance.UNKNOWN_START,
                    version));
        }
    }
}
