package org.merlinwood.entry.dispatch;

import java.util.List;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.result.Failure;

/**
 * Receives the response of one request. Exactly one terminal method is called, as the last call. Methods are called by
 * any thread, never concurrently, and must not block.
 */
public interface RequestSink {

    /**
     * Receives the next tokens of the response, in order and without gaps.
     *
     * @param tokens the new tokens
     */
    void tokens(List<String> tokens);

    /**
     * Terminal: the response of the model is complete.
     *
     * @param response the response
     */
    void modelResponse(ModelResponse response);

    /**
     * Terminal: the response of the plain service is complete.
     *
     * @param response the response
     */
    void plainResponse(PlainResponse response);

    /**
     * Terminal: a key was minted.
     *
     * @param key the key
     */
    void mintedKey(IdempotencyKey key);

    /**
     * Terminal: the request failed and there is no complete response.
     *
     * @param failure the failure to report
     */
    void failure(Failure failure);
}
