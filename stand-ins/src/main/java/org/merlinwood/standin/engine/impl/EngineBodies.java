package org.merlinwood.standin.engine.impl;

import java.util.List;

/** Bodies of the engine's interface, as the architecture page lists them. */
public final class EngineBodies {

    private EngineBodies() {}

    /** Asks for the KV cache of a prompt to be computed. */
    public record PrefillCall(String request, String model, String prompt, int priority) {}

    /** Says where the KV cache of a prompt is held. */
    public record PrefillAnswer(String handle, int tokens, int computedTokens, long bytes, long expiresInMillis) {}

    /** Asks for tokens. */
    public record DecodeCall(
            String request,
            String model,
            String prompt,
            List<String> tokensSoFar,
            int maximumTokens,
            double temperature,
            long seed,
            int priority,
            CacheReference cache) {

        /** Takes a missing list as an empty one. */
        public DecodeCall {
            tokensSoFar = tokensSoFar == null ? List.of() : List.copyOf(tokensSoFar);
        }
    }

    /** Names a KV cache at another engine. */
    public record CacheReference(String address, String handle, int tokens, long bytes) {}

    /** One line of an answer. */
    public record TokensLine(int offset, List<String> tokens) {}

    /** The last line of an answer. */
    public record EndLine(boolean end, int length, String finishReason) {}

    /** All streams. */
    public record Streams(List<StreamState> streams) {}

    /** One stream. */
    public record StreamState(String request, String kind, int pieces, int offset) {}

    /** An order. */
    public record Order(
            long fencing,
            String kind,
            String model,
            String version,
            String weights,
            String adapter,
            String role,
            String weightStore) {}

    /** Refusal of an order with an old fencing number. */
    public record FencingRefusal(String error, long highest) {}

    /** Refusal of an order whose weights can't be had now. */
    public record WeightsRefusal(String error, long retryAfterMillis) {}

    /** What is loaded. */
    public record Models(String role, long highestFencing, List<LoadedModel> models) {}

    /** One loaded model. */
    public record LoadedModel(String name, String version, List<String> adapters) {

        /** Copies the list. */
        public LoadedModel {
            adapters = List.copyOf(adapters);
        }
    }
}
