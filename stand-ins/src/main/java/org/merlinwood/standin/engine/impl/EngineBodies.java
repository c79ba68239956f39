package org.merlinwood.standin.engine.impl;

import java.util.List;

/** JSON bodies of the engine's HTTP interface, as listed in the architecture page. */
public final class EngineBodies {

    private EngineBodies() {}

    /** Request to compute the KV cache of a prompt. */
    public record PrefillRequest(String request, String model, String prompt, int priority) {}

    /** Response with the handle of the KV cache of a prompt. */
    public record PrefillResponse(String handle, int tokens, int computedTokens, long bytes, long expiresInMillis) {}

    /** Request to generate tokens. */
    public record DecodeRequest(
            String request,
            String model,
            String prompt,
            List<String> tokensSoFar,
            int maximumTokens,
            double temperature,
            long seed,
            int priority,
            CacheReference cache) {

        /** Copies the list; a missing list is read as empty. */
        public DecodeRequest {
            tokensSoFar = tokensSoFar == null ? List.of() : List.copyOf(tokensSoFar);
        }
    }

    /** Reference to a KV cache at another engine. */
    public record CacheReference(String address, String handle, int tokens, long bytes) {}

    /** One line of a decode response. */
    public record TokensLine(int offset, List<String> tokens) {}

    /** Last line of a complete decode response. */
    public record EndLine(boolean end, int length, String finishReason) {}

    /** All requests that have memory reserved. */
    public record Streams(List<StreamState> streams) {}

    /** State of one request that has memory reserved. */
    public record StreamState(String request, String kind, int pieces, int offset) {}

    /** Order to load or unload a model, load an adapter or change the role. */
    public record Order(
            long fencing,
            String kind,
            String model,
            String version,
            String weights,
            String adapter,
            String role,
            String weightStore) {}

    /** Error response to an order with an old fencing number. */
    public record FencingRefusal(String error, long highest) {}

    /** Error response to an order whose weights cannot be fetched now. */
    public record WeightsRefusal(String error, long retryAfterMillis) {}

    /** Role and loaded models of an engine. */
    public record Models(String role, long highestFencing, List<LoadedModel> models) {}

    /** One loaded model. */
    public record LoadedModel(String name, String version, List<String> adapters) {

        /** Copies the list, so that the record is immutable. */
        public LoadedModel {
            adapters = List.copyOf(adapters);
        }
    }
}
