package org.merlinwood.entry.filter;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.entry.request.ResponseFormat;
import org.merlinwood.entry.request.SamplingParameters;
import org.merlinwood.following.ActiveConfiguration;

/**
 * Classifies requests as requests to a model, to a plain service, or for a minted idempotency key. Immutable and
 * thread-safe.
 */
public final class ClassifyFilter {

    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String KEYS_PATH = "/merlinwood/keys";
    private static final String POST = "POST";
    private static final int BYTES_PER_TOKEN = 4;
    private static final byte SEPARATOR = 0;

    private final KeyFilter keyFilter;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the filter.
     *
     * @param keys the valid shared keys of the fleet, used to verify minted idempotency keys
     */
    public ClassifyFilter(List<SharedKey> keys) {
        this.keyFilter = new KeyFilter(keys);
    }

    // ------------------------------------------------------------------ public API

    /**
     * Classifies a request.
     *
     * @param request the request with its caller
     * @param configuration the active inventory and rules
     * @return the request with everything needed to place it, or the failure to report
     */
    public Either<Failure, ClassifiedRequest> classify(IdentifiedRequest request, ActiveConfiguration configuration) {
        return switch (request.accepted().path()) {
            case COMPLETIONS_PATH ->
                requirePost(request).flatMap(posted -> modelRequest(posted, configuration, ResponseFormat.COMPLETION));
            case CHAT_COMPLETIONS_PATH ->
                requirePost(request)
                        .flatMap(posted -> modelRequest(posted, configuration, ResponseFormat.CHAT_COMPLETION));
            case KEYS_PATH -> requirePost(request).flatMap(posted -> mintRequest(posted, configuration.rules()));
            default -> plainRequest(request, configuration.rules());
        };
    }

    // ------------------------------------------------------------------ internals

    private static Either<Failure, IdentifiedRequest> requirePost(IdentifiedRequest request) {
        return request.accepted().method().equals(POST)
                ? Either.right(request)
                : Either.left(Failure.of(ResultCode.METHOD_NOT_ALLOWED, "this path supports POST only"));
    }

    private static Either<Failure, ClassifiedRequest> modelRequest(
            IdentifiedRequest request, ActiveConfiguration configuration, ResponseFormat responseFormat) {
        return PromptReader.read(request.accepted().body(), responseFormat)
                .flatMap(prompt -> service(prompt.model(), configuration)
                        .flatMap(service ->
                                modelRequest(request, service, prompt, configuration.inventory(), responseFormat)));
    }

    private static Either<Failure, ClassifiedRequest> modelRequest(
            IdentifiedRequest request,
            ServiceRule service,
            PromptRequest prompt,
            Inventory inventory,
            ResponseFormat responseFormat) {
        int promptTokens = estimatedTokens(prompt.prompt());
        long tokens = (long) promptTokens + prompt.sampling().maximumTokens();
        int maximumTokens =
                inventory.model(prompt.model()).map(Model::maximumTokens).orElse(0);
        if (tokens > maximumTokens) {
            return Either.left(Failure.of(
                    ResultCode.PROMPT_TOO_LONG,
                    "prompt and response need %d tokens, the model supports %d".formatted(tokens, maximumTokens)));
        }
        return Either.right(new ClassifiedRequest.ModelRequest(
                request,
                service,
                prompt.model(),
                prompt.prompt(),
                promptTokens,
                GrantDemand.piecesOf(tokens),
                prompt.sampling(),
                responseFormat,
                prompt.delivery(),
                PrefixBlocks.of(prompt.prompt()),
                fingerprint(prompt)));
    }

    private static int estimatedTokens(String prompt) {
        return Math.ceilDiv(prompt.getBytes(StandardCharsets.UTF_8).length, BYTES_PER_TOKEN);
    }

    private static Either<Failure, ServiceRule> service(ModelName model, ActiveConfiguration configuration) {
        Optional<ServiceRule> service = configuration.inventory().instances().values().stream()
                .filter(instance -> instance.role() == InstanceRole.DECODE)
                .filter(instance -> instance.state() != InstanceState.RETIRED)
                .filter(instance -> instance.models().contains(model))
                .map(Instance::service)
                .findFirst()
                .flatMap(configuration.rules()::service);
        return service.<Either<Failure, ServiceRule>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Failure.of(ResultCode.UNKNOWN_MODEL, "no instance in the inventory serves the model")));
    }

    private static Either<Failure, ClassifiedRequest> mintRequest(IdentifiedRequest request, Rules rules) {
        return PromptReader.readService(request.accepted().body())
                .flatMap(name -> plainService(new ServiceName(name), rules))
                .map(service -> new ClassifiedRequest.MintRequest(request, service));
    }

    private Either<Failure, ClassifiedRequest> plainRequest(IdentifiedRequest request, Rules rules) {
        AcceptedRequest accepted = request.accepted();
        return route(accepted, rules)
                .flatMap(route -> plainService(route.service(), rules)
                        .flatMap(service -> keyFilter
                                .keyUse(request, route)
                                .map(key -> new ClassifiedRequest.PlainRequest(
                                        request, service, key, fingerprint(accepted)))));
    }

    private static Either<Failure, RouteRule> route(AcceptedRequest request, Rules rules) {
        List<RouteRule> matchingRoutes = rules.routes().stream()
                .filter(rule -> rule.matchesPath(request.path()))
                .toList();
        Optional<RouteRule> found = matchingRoutes.stream()
                .filter(rule -> rule.matchesMethod(request.method()))
                .findFirst();
        if (found.isPresent()) {
            return Either.right(found.get());
        }
        return Either.left(
                matchingRoutes.isEmpty()
                        ? Failure.of(ResultCode.UNKNOWN_ROUTE, "no route in the rules matches the path")
                        : Failure.of(ResultCode.METHOD_NOT_ALLOWED, "no route for this path supports the method"));
    }

    private static Either<Failure, ServiceRule> plainService(ServiceName name, Rules rules) {
        return rules.service(name)
                .filter(service -> service.kind() == ServiceKind.PLAIN)
                .<Either<Failure, ServiceRule>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Failure.of(ResultCode.UNKNOWN_ROUTE, "the rules contain no plain service with this name")));
    }

    private static ByteString fingerprint(PromptRequest prompt) {
        SamplingParameters sampling = prompt.sampling();
        MessageDigest digest = DigestUtils.getSha256Digest();
        update(digest, prompt.model().value());
        update(digest, "%d %s %d".formatted(sampling.maximumTokens(), sampling.temperature(), sampling.seed()));
        update(digest, prompt.prompt());
        return ByteString.copyFrom(digest.digest());
    }

    private static ByteString fingerprint(AcceptedRequest request) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        update(digest, request.method());
        update(digest, request.path());
        update(digest, request.query());
        digest.update(request.body());
        return ByteString.copyFrom(digest.digest());
    }

    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }
}
