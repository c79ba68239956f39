package org.merlinwood.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.retry.RetryDelay;

/** Admission by the predicted time to first token. */
final class AdmissionTest {

    private static final long TARGET_MILLIS = 1_600;
    private static final long LONG_MILLIS = 60_000;
    private static final CallerClass OFFICERS = new CallerClass("officers", 1, TARGET_MILLIS, 80, 1, 8);

    private final Admission admission = new Admission(new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

    @ParameterizedTest
    @CsvSource({"0,0,0,0,true", "500,500,500,50,true", "500,600,600,50,false", "1601,0,0,0,false", "0,0,0,1601,false"})
    void comparesThePredictionWithTheTarget(
            long decodeWait, long prefillWait, long prefill, long transfer, boolean admitted) {
        AdmissionQuery query = new AdmissionQuery(
                OFFICERS,
                service(1, 1),
                new PlacementForecast(decodeWait, 0),
                new PlacementForecast(prefillWait, prefill),
                transfer,
                0,
                LONG_MILLIS);
        assertThat(admission.decide(query) instanceof AdmissionDecision.Admit).isEqualTo(admitted);
    }

    @Test
    void admitsWithTheRemainingTimeAsWait() {
        assertThat(admission.decide(query(1, 1, 600, LONG_MILLIS))).isEqualTo(new AdmissionDecision.Admit(1_000));
    }

    @Test
    void refusesWithARetryAfterTime() {
        AdmissionDecision decision = admission.decide(query(1, 1, 2_000, LONG_MILLIS));
        assertThat(decision).isInstanceOf(AdmissionDecision.Refuse.class);
        Failure failure = ((AdmissionDecision.Refuse) decision).failure();
        assertThat(failure.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(failure.retryAfterMillis()).isBetween(400L, 1_200L);
    }

    @Test
    void refusesWhenTheDeadlineIsTooShort() {
        assertThat(admission.decide(query(1, 1, 600, 500))).isInstanceOf(AdmissionDecision.Refuse.class);
    }

    @ParameterizedTest
    @CsvSource({"1,1,1.0", "1,0,1.25", "0,1,0.5", "1,1000,0.5"})
    void derivesTheTargetShareFromTheWeights(double goodput, double waste, double share) {
        assertThat(Admission.targetShare(service(goodput, waste))).isEqualTo(share);
    }

    @Test
    void refusesEarlierWithAHigherWeightOfWastedPrefill() {
        assertThat(admission.decide(query(2, 1, 1_650, LONG_MILLIS))).isInstanceOf(AdmissionDecision.Admit.class);
        assertThat(admission.decide(query(1, 2, 1_550, LONG_MILLIS))).isInstanceOf(AdmissionDecision.Refuse.class);
    }

    private static AdmissionQuery query(double goodput, double waste, long prefillMillis, long remainingMillis) {
        return new AdmissionQuery(
                OFFICERS,
                service(goodput, waste),
                PlacementForecast.IMMEDIATE,
                new PlacementForecast(0, prefillMillis),
                0,
                0,
                remainingMillis);
    }

    private static ServiceRule service(double goodputWeight, double wastedPrefillWeight) {
        return new ServiceRule(
                new ServiceName("reports"), ServiceKind.MODEL, goodputWeight, wastedPrefillWeight, LONG_MILLIS);
    }
}
