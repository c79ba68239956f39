package org.merlinwood.entry.dispatch;

import java.util.List;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.result.Failure;

/**
 * Where the answer of one request goes. Exactly one of the terminal methods is called, last. Called by any thread, but
 * never by two at once; must not block.
 */
public interface RequestSink {

    /**
     * Takes further tokens of the answer, in order and without holes.
     *
     * @param tokens the tokens
     */
    void tokens(List<String> tokens);

    /**
     * Terminal: the model's answer is whole.
     *
     * @param answer the answer
     */
    void modelResponse(ModelResponse answer);

    /**
     * Terminal: the plain service's answer is whole.
     *
     * @param answer the answer
     */
    void plainResponse(PlainResponse answer);

    /**
     * Terminal: a key was minted.
     *
     * @param key the key
     */
    void mintedKey(IdempotencyKey key);

    /**
     * Terminal: there is no whole answer.
     *
     * @param failure why
     */
    void failure(Failure failure);
}
