package org.merlinwood.sidecar.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/** Bodies of a model engine's interface. Values only. */
public final class EngineMessages {

    private EngineMessages() {}

    /**
     * Body of {@code POST /v1/prefill}.
     *
     * @param request identifier of the request, 32 hexadecimal digits
     * @param model name of the model
     * @param prompt text of the prompt
     * @param priority 0 comes first
     */
    public record PrefillRequest(String request, String model, String prompt, int priority) {}

    /**
     * Answer of {@code POST /v1/prefill}.
     *
     * @param handle names the KV cache at the engine
     * @param tokens tokens of the prompt
     * @param computedTokens tokens that were not in the prefix cache
     * @param bytes size of the KV cache, in bytes
     * @param expiresInMillis how long the engine keeps it, in milliseconds
     */
    public record PrefillResponse(String handle, int tokens, int computedTokens, long bytes, long expiresInMillis) {}

    /**
     * Names a KV cache at another engine.
     *
     * @param address address of the engine that holds it
     * @param handle its name there
     * @param tokens tokens of the prompt
     * @param bytes its size, in bytes
     */
    public record CacheReference(String address, String handle, int tokens, long bytes) {}

    /**
     * Body of {@code POST /v1/decode}.
     *
     * @param request identifier of the request, 32 hexadecimal digits
     * @param model name of the model
     * @param prompt text of the prompt
     * @param tokensSoFar tokens that the caller has already
     * @param maximumTokens length of the whole answer at most, in tokens
     * @param temperature temperature of the sampling
     * @param seed seed of the sampling
     * @param priority 0 comes first
     * @param cache where the KV cache is, or null where the engine prefills on its own
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
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

        /** Copies the list. */
        public DecodeRequest {
            tokensSoFar = List.copyOf(tokensSoFar);
        }
    }

    /**
     * Answer of {@code GET /v1/streams}.
     *
     * @param streams everything that holds memory
     */
    public record Streams(List<StreamState> streams) {

        /** Copies the list. */
        public Streams {
            streams = List.copyOf(Optional.ofNullable(streams).orElse(List.of()));
        }
    }

    /**
     * One stream, or the kept result of one prefill.
     *
     * @param request identifier of the request
     * @param kind what runs
     * @param pieces pieces of memory that it holds
     * @param offset tokens produced so far
     */
    public record StreamState(String request, String kind, int pieces, long offset) {}

    /**
     * Body of {@code POST /v1/orders}.
     *
     * @param fencing number of the order
     * @param kind what is ordered
     * @param model the model, or null
     * @param version its version, or null
     * @param weights name of its weights, or null
     * @param adapter name of the adapter, or null
     * @param role the new role, or null
     * @param weightStore address of the weight store
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record OrderRequest(
            long fencing,
            String kind,
            String model,
            String version,
            String weights,
            String adapter,
            String role,
            String weightStore) {}

    /**
     * Answer of {@code GET /v1/models}.
     *
     * @param role its role
     * @param highestFencing highest fencing number that it has obeyed
     * @param models what is loaded
     */
    public record Models(String role, long highestFencing, List<LoadedModel> models) {

        /** Copies the list. */
        public Models {
            models = List.copyOf(Optional.ofNullable(models).orElse(List.of()));
        }
    }

    /**
     * One loaded model.
     *
     * @param name its name
     * @param version its version
     * @param adapters adapters loaded on top
     */
    public record LoadedModel(String name, String version, List<String> adapters) {

        /** Copies the list. */
        public LoadedModel {
            adapters = List.copyOf(Optional.ofNullable(adapters).orElse(List.of()));
        }
    }

    /**
     * Body of a refusal.
     *
     * @param error what was refused
     * @param retryAfterMillis when to come back, in milliseconds, or 0
     */
    public record Refusal(String error, long retryAfterMillis) {}
}
