package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.decision.ActiveGeneration;

/**
 * An attempt whose instance is silent, kept open while a replacement at another instance is prepared, and then until
 * one of the two goes on: the silent instance with a complete event or an orderly end, the other one with the head of a
 * successful response.
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
