package org.merlinwood.decision.idempotency;

import java.util.Objects;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;

/**
 * What an authentic minted key says. Immutable.
 *
 * @param service the service that the key is for
 * @param instance the only instance that may run it
 * @param incarnation the only life of that instance's sidecar that may run it
 * @param mintedWallMillis wall time of the process that minted it, in milliseconds since 1970-01-01T00:00:00Z
 */
public record MintedKey(ServiceName service, InstanceName instance, Incarnation incarnation, long mintedWallMillis) {

    /** Checks that no part is missing. */
    public MintedKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
