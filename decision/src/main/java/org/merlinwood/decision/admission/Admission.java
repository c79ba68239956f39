package org.merlinwood.decision.admission;

import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.retry.RetryDelay;

/**
 * Decides whether a request can still receive its first token within the target of its class.
 *
 * <p>Compares the predicted time with the target. The weights of the service determine by how much a prediction may
 * exceed the target: the probability of meeting the target is modelled as a logistic function of the ratio of predicted
 * time to target, and a request is admitted while the expected gain exceeds the expected cost of a wasted prefill.
 * Stateless apart from the random numbers of the retry delay. Not thread-safe: used by the entry's control thread only.
 */
public final class Admission {

    private static final double PREDICTION_STEEPNESS = 8;
    private static final double MINIMUM_TARGET_SHARE = 0.5;
    private static final double MAXIMUM_TARGET_SHARE = 1.25;

    private final RetryDelay retryDelay;

    /**
     * Creates the admission of one entry.
     *
     * @param retryDelay randomizes the retry-after times of refusals
     */
    public Admission(RetryDelay retryDelay) {
        this.retryDelay = retryDelay;
    }

    /**
     * Decides whether to admit a request.
     *
     * @param query the request
     * @return admission with the time the request may wait for a decode grant, or a refusal
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
     * Returns the highest ratio of predicted time to target at which a request is admitted.
     *
     * @param service rule of the service, with the weights
     * @return 1 for equal weights, more if goodput has the higher weight; from 0.5 to 1.25
     */
    public static double targetShare(ServiceRule service) {
        if (service.wastedPrefillWeight() <= 0) {
            return MAXIMUM_TARGET_SHARE;
        }
        double logOdds = Math.log(service.goodputWeight() / service.wastedPrefillWeight());
        double share = 1 + logOdds / PREDICTION_STEEPNESS;
        return Math.clamp(share, MINIMUM_TARGET_SHARE, MAXIMUM_TARGET_SHARE);
    }

    private static long allowedMillis(AdmissionQuery query) {
        double targetMillis = query.callerClass().firstTokenTargetMillis() * targetShare(query.service());
        return Math.min(Math.round(targetMillis), query.elapsedMillis() + query.remainingMillis());
    }

    private static long workMillis(AdmissionQuery query) {
        return query.prefill().waitMillis() + query.prefill().serviceMillis() + query.transferMillis();
    }

    private AdmissionDecision refuse(AdmissionQuery query, long excessMillis) {
        long retryAfterMillis =
                retryDelay.retryAfterMillis(excessMillis, query.callerClass().priority());
        return new AdmissionDecision.Refuse(Failure.retryable(
                ResultCode.DEADLINE_UNREACHABLE,
                "The first token is predicted " + excessMillis + " ms after its target.",
                retryAfterMillis));
    }
}
