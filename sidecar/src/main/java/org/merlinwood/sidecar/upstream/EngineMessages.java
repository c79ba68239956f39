package org.merlinwood.sidecar.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/** JSON bodies of the model engine's HTTP interface. */
public final class EngineMessages {

    private EngineMessages() {}

    /**
     * Body of {@code POST /v1/prefill}.
     *
     * @param request identifier of the request, 32 hexadecimal digits
     * @param model name of the model
     * @param prompt text of the prompt
     * @param priority priority; 0 is the highest
     */
    public record PrefillRequest(String request, String model, String prompt, int priority) {}

    /**
     * Response to {@code POST /v1/prefill}.
     *
     * @param handle name of the KV cache at the engine
     * @param tokens length of the prompt, in tokens
     * @param computedTokens number of tokens that were not in the prefix cache
     * @param bytes size of the KV cache, in bytes
     * @param expiresInMillis time for which the engine retains the KV cache, in milliseconds
     */
    public record PrefillResponse(String handle, int tokens, int computedTokens, long bytes, long expiresInMillis) {}

    /**
     * Reference to a KV cache at another engine.
     *
     * @param address address of the engine that holds the cache
     * @param handle its name there
     * @param tokens length of the prompt, in tokens
     * @param bytes its size, in bytes
     */
    public record CacheReference(String address, String handle, int tokens, long bytes) {}

    /**
     * Body of {@code POST /v1/decode}.
     *
     * @param request identifier of the request, 32 hexadecimal digits
     * @param model name of the model
     * @param prompt text of the prompt
     * @param tokensSoFar tokens that the caller has already received
     * @param maximumTokens maximum length of the complete response, in tokens
     * @param temperature sampling temperature
     * @param seed sampling seed
     * @param priority priority; 0 is the highest
     * @param cache location of the KV cache, or null if the engine computes the prefill itself
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
     * Response to {@code GET /v1/streams}.
     *
     * @param streams the streams and retained results that hold memory
     */
    public record Streams(List<StreamState> streams) {

        /** Copies the list. */
        public Streams {
            streams = List.copyOf(Optional.ofNullable(streams).orElse(List.of()));
        }
    }

    /**
     * One stream, or the retained result of one prefill.
     *
     * @param request identifier of the request
     * @param kind kind of work
     * @param pieces number of memory pieces that it holds
     * @param offset number of tokens produced so far
     */
    public record StreamState(String request, String kind, int pieces, long offset) {}

    /**
     * Body of {@code POST /v1/orders}.
     *
     * @param fencing fencing number of the order
     * @param kind kind of the order
     * @param model name of the model, or null
     * @param version version of the model, or null
     * @param weights name of the weights, or null
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
     * Response to {@code GET /v1/models}.
     *
     * @param role role of the engine
     * @param highestFencing highest fencing number that the engine has accepted
     * @param models the loaded models
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
     * @param name name of the model
     * @param version version of the model
     * @param adapters loaded adapters of the model
     */
    public record LoadedModel(String name, String version, List<String> adapters) {

        /** Copies the list. */
        public LoadedModel {
            adapters = List.copyOf(Optional.ofNullable(adapters).orElse(List.of()));
        }
    }

    /**
     * Body of an error response.
     *
     * @param error description of the error
     * @param retryAfterMillis delay before a retry, in milliseconds, or 0 if unknown
     */
    public record Refusal(String error, long retryAfterMillis) {}
}
