package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.decision.ActiveGeneration;

/**
 * An attempt whose instance is silent, kept open while a replacement at another instance is prepared.
 *
 * @param work the request to the instance
 * @param generation the generation as it is registered with the instance pool
 */
record SilentAttempt(UpstreamWork work, Optional<ActiveGeneration> generation) {

    /** Returns the identifier of the instance. */
    String instance() {
        return work.instance().identifier();
    }
}
