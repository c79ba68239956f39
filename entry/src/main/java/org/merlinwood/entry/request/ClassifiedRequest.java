package org.merlinwood.entry.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** A request of which it is known what has to be done for it. Immutable. */
public sealed interface ClassifiedRequest {

    /**
     * Returns the request.
     *
     * @return the request with its caller
     */
    IdentifiedRequest identified();

    /**
     * Returns the service.
     *
     * @return the rule of the service
     */
    ServiceRule service();

    /**
     * A prompt for a model.
     *
     * @param identified the request with its caller
     * @param service rule of the service that carries the model
     * @param model the model
     * @param prompt the text of the prompt
     * @param promptTokens estimated length of the prompt, in tokens
     * @param pieces engine memory that prompt and answer take, in pieces
     * @param sampling how the answer is generated
     * @param responseFormat shape of the answer's JSON
     * @param delivery whole or streamed
     * @param blocks hashes of the prompt's prefixes
     * @param fingerprint SHA-256 over model, prompt and sampling
     */
    record ModelRequest(
            IdentifiedRequest identified,
            ServiceRule service,
            ModelName model,
            String prompt,
            int promptTokens,
            int pieces,
            SamplingParameters sampling,
            ResponseFormat responseFormat,
            Delivery delivery,
            PrefixBlocks blocks,
            ByteString fingerprint)
            implements ClassifiedRequest {}

    /**
     * A call of a plain service.
     *
     * @param identified the request with its caller
     * @param service rule of the service
     * @param key which instances may run it, and how often
     * @param fingerprint SHA-256 over method, path, query and body
     */
    record PlainRequest(IdentifiedRequest identified, ServiceRule service, KeyUse key, ByteString fingerprint)
            implements ClassifiedRequest {}

    /**
     * The caller wants an idempotency key.
     *
     * @param identified the request with its caller
     * @param service rule of the plain service that the key is for
     */
    record MintRequest(IdentifiedRequest identified, ServiceRule service) implements ClassifiedRequest {}

    /**
     * Returns the model, for the choice of a pool.
     *
     * @return the model, empty for plain services
     */
    default Optional<ModelName> modelName() {
        return this instanceof ModelRequest call ? Optional.of(call.model()) : Optional.empty();
    }
}
