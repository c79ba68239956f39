package org.merlinwood.proving.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A request of a caller. Immutable.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body text of the body
 * @param token bearer token
 * @param key idempotency key; empty for a request without one
 * @param deadlineMillis deadline in milliseconds from the arrival at the entry; empty for the default
 */
public record CallerRequest(
        String method, String path, String body, String token, Optional<String> key, Optional<Long> deadlineMillis) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Creates a request for a streamed completion.
     *
     * @param token bearer token
     * @param model the model
     * @param prompt the prompt
     * @param maximumTokens maximum length of the response in tokens
     * @return the request
     */
    public static CallerRequest streamed(String token, String model, String prompt, int maximumTokens) {
        return completion(token, model, prompt, maximumTokens, true);
    }

    /**
     * Creates a request for a completion that is not streamed.
     *
     * @param token bearer token
     * @param model the model
     * @param prompt the prompt
     * @param maximumTokens maximum length of the response in tokens
     * @return the request
     */
    public static CallerRequest whole(String token, String model, String prompt, int maximumTokens) {
        return completion(token, model, prompt, maximumTokens, false);
    }

    /**
     * Creates a plain request.
     *
     * @param token bearer token
     * @param method HTTP method
     * @param path path and query
     * @param body text of the body
     * @return the request
     */
    public static CallerRequest plain(String token, String method, String path, String body) {
        return new CallerRequest(method, path, body, token, Optional.empty(), Optional.empty());
    }

    /**
     * Returns this request with an idempotency key.
     *
     * @param value the key
     * @return a copy
     */
    public CallerRequest withKey(String value) {
        return new CallerRequest(method, path, body, token, Optional.of(value), deadlineMillis);
    }

    /**
     * Returns this request with a deadline.
     *
     * @param millis deadline in milliseconds from the arrival at the entry
     * @return a copy
     */
    public CallerRequest withDeadline(long millis) {
        return new CallerRequest(method, path, body, token, key, Optional.of(millis));
    }

    byte[] bytes() {
        return body.getBytes(StandardCharsets.UTF_8);
    }

    private static CallerRequest completion(
            String token, String model, String prompt, int maximumTokens, boolean stream) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("model", model)
                .put("prompt", prompt)
                .put("max_tokens", maximumTokens)
                .put("stream", stream);
        return new CallerRequest("POST", "/v1/completions", body.toString(), token, Optional.empty(), Optional.empty());
    }
}
