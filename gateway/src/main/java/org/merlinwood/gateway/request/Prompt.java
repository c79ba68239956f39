package org.merlinwood.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The prompt of a model request, with its lengths in tokens. Immutable.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum length of the response in tokens
 * @param lengthHint the caller's estimate of the length of the response in tokens; correct at the median, but often far
 *     off for a single request; empty if there is none
 * @param parts the consecutive parts of the prompt; may be empty
 */
public record Prompt(String model, int promptTokens, int outputTokens, OptionalInt lengthHint, List<PromptPart> parts) {

    /** The prompt of a request that has none: a stream of a plain service. */
    public static final Prompt NONE = new Prompt("", 0, 0, OptionalInt.empty(), List.of());

    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the part that belongs to the request itself, or to few requests.
     *
     * @return the last part, or empty if there is none
     */
    public Optional<PromptPart> lastPart() {
        return parts.isEmpty() ? Optional.empty() : Optional.of(parts.getLast());
    }
}
