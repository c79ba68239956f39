package org.merlinwood.decision.admission;

import java.util.Objects;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.decision.placement.PlacementForecast;

/**
 * The properties of a model request that admission depends on. Immutable.
 *
 * @param callerClass class of the caller, with the target for the first token
 * @param service rule of the service, with the weights
 * @param decode forecast of the decode pool
 * @param prefill forecast of the prefill pool
 * @param transferMillis predicted transfer time of the KV cache, in milliseconds
 * @param elapsedMillis time since the request arrived, in milliseconds
 * @param remainingMillis time until the caller's deadline, in milliseconds
 */
public record AdmissionQuery(
        CallerClass callerClass,
        ServiceRule service,
        PlacementForecast decode,
        PlacementForecast prefill,
        long transferMillis,
        long elapsedMillis,
        long remainingMillis) {

    /** Rejects missing components. */
    public AdmissionQuery {
        Objects.requireNonNull(callerClass, "callerClass");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(decode, "decode");
        Objects.requireNonNull(prefill, "prefill");
    }
}
