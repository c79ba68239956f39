package org.merlinwood.decision.admission;

import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.retry.RetryDelay;

/**
 * Decides whether a request can still get its first token within the target of its class.
 *
 * <p>The predicted time is set against the target. How far beyond the target a prediction may lie depends on the
 * weights of the service: the chance to meet the target is taken as a logistic function of the predicted share of it,
 * and a request is admitted while the expected gain exceeds the expected loss of a prefill. Stateless apart from the
 * random numbers of the delay; used by the entry's control thread only.
 */
public final class Admission {

    private static final double PREDICTION_STEEPNESS = 8;
    private static final double LEAST_TARGET_SHARE = 0.5;
    private static final double MOST_TARGET_SHARE = 1.25;

    private final RetryDelay retryDelay;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an admission.
     *
     * @param retryDelay spreads the times to come back
     */
    public Admission(RetryDelay retryDelay) {
        this.retryDelay = retryDelay;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Decides on one request.
     *
     * @param query the request
     * @return admit with the time to wait, or the final answer
     */
    public AdmissionDecision decide(AdmissionQuery query) {
        long allowedMillis = allowedMillis(query);
        long workMillis = query.elapsedMillis() + workMillis(query);
        long predictedMillis = workMillis + query.decode().waitMillis();
        if (predictedMillis > allowedMillis) {
            return refuse(query, predictedMillis - allowedMillis);
        }
        return new AdmissionDecision.Admit(allowedMillis - workMillis);
    }

    /**
     * Returns the share of a target that a prediction may reach.
     *
     * @param service rule with the weights
     * @return about 1; more where goodput weighs more than wasted prefill
     */
    public static double targetShare(ServiceRule service) {
        if (service.wastedPrefillWeight() <= 0) {
            return MOST_TARGET_SHARE;
        }
        double logOdds = Math.log(service.goodputWeight() / service.wastedPrefillWeight());
        double share = 1 + logOdds / PREDICTION_STEEPNESS;
        return Math.clamp(share, LEAST_TARGET_SHARE, MOST_TARGET_SHARE);
    }

    // ------------------------------------------------------------------ internals

    private static long allowedMillis(AdmissionQuery query) {
        double targetMillis = query.callerClass().firstTokenTargetMillis() * targetShare(query.service());
        return Math.min(Math.round(targetMillis), query.elapsedMillis() + query.remainingMillis());
    }

    private static long workMillis(AdmissionQuery query) {
        return query.prefill().waitMillis() + query.prefill().serviceMillis() + query.transferMillis();
    }

    private AdmissionDecision refuse(AdmissionQuery query, long excessMillis) {
        long backMillis =
                retryDelay.retryAfterMillis(excessMillis, query.callerClass().priority());
        return new AdmissionDecision.Refuse(Failure.retryable(
                ResultCode.DEADLINE_UNREACHABLE,
                "The first token is predicted " + excessMillis + " ms after its target.",
                backMillis));
    }
}
