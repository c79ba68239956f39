package org.merlinwood.decision.idempotency;

import java.util.Objects;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;

/**
 * The content of an authentic minted key. Immutable.
 *
 * @param service the service that the key is for
 * @param instance the only instance that may run its request
 * @param incarnation the only incarnation of that instance's sidecar that may run its request
 * @param mintedWallMillis wall time of the process that minted it, in milliseconds since 1970-01-01T00:00:00Z
 */
public record MintedKey(ServiceName service, InstanceName instance, Incarnation incarnation, long mintedWallMillis) {

    /** Rejects missing components. */
    public MintedKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
