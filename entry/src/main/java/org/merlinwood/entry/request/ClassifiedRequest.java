package org.merlinwood.entry.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** A request whose kind and service are known. Immutable. */
public sealed interface ClassifiedRequest {

    /**
     * Returns the identified request.
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
     * A request to a model.
     *
     * @param identified the request with its caller
     * @param service rule of the service that serves the model
     * @param model the model
     * @param prompt the text of the prompt
     * @param promptTokens estimated length of the prompt, in tokens
     * @param pieces engine memory needed for prompt and response, in pieces
     * @param sampling sampling parameters
     * @param responseFormat JSON format of the response
     * @param delivery whether the response is streamed
     * @param blocks hashes of the prefixes of the prompt
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
     * A request to a plain service.
     *
     * @param identified the request with its caller
     * @param service rule of the service
     * @param key key of the request, which determines the instances that may execute it and how often
     * @param fingerprint SHA-256 over method, path, query and body
     */
    record PlainRequest(IdentifiedRequest identified, ServiceRule service, KeyUse key, ByteString fingerprint)
            implements ClassifiedRequest {}

    /**
     * A request to mint an idempotency key.
     *
     * @param identified the request with its caller
     * @param service rule of the plain service for which the key is minted
     */
    record MintRequest(IdentifiedRequest identified, ServiceRule service) implements ClassifiedRequest {}

    /**
     * Returns the name of the requested model.
     *
     * @return the model, empty for plain services
     */
    default Optional<ModelName> modelName() {
        return this instanceof ModelRequest modelRequest ? Optional.of(modelRequest.model()) : Optional.empty();
    }
}
