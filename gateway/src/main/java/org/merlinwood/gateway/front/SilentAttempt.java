package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.decision.ActiveGeneration;

/**
 * An attempt whose instance is silent, kept open while a replacement at another instance is prepared and until one of
 * the two goes on: the one that sends a complete event or an orderly end first.
 *
 * @param work the request to the instance
 * @param generation the generation as it is registered with the instance pool
 * @param attempt receives the response
 */
record SilentAttempt(UpstreamWork work, Optional<ActiveGeneration> generation, GenerationAttempt attempt) {

    /** Returns the identifier of the instance. */
    String instance() {
        return work.instance().identifier();
    }
}
