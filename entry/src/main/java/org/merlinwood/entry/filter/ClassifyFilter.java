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
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.AnswerShape;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.entry.request.SamplingParameters;
import org.merlinwood.following.ActiveConfiguration;

/**
 * Finds out what a request asks for: a model's answer, a call of a plain service, or an idempotency key. Immutable and
 * thread-safe.
 */
public final class ClassifyFilter {

    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String KEYS_PATH = "/merlinwood/keys";
    private static final String POST = "POST";
    private static final int BYTES_PER_TOKEN = 4;
    private static final int TOKENS_PER_PIECE = 2_000;
    private static final byte SEPARATOR = 0;

    private final KeyFilter keyFilter;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the filter.
     *
     * @param keys the valid keys of the fleet, which minted idempotency keys are proved with
     */
    public ClassifyFilter(List<SharedKey> keys) {
        this.keyFilter = new KeyFilter(keys);
    }

    // ------------------------------------------------------------------ public API

    /**
     * Classifies a request.
     *
     * @param request the request with its caller
     * @param configuration inventory and rules in force
     * @return the request with all that is needed to place it, or the final answer
     */
    public Either<Failure, ClassifiedRequest> classify(IdentifiedRequest request, ActiveConfiguration configuration) {
        return switch (request.accepted().path()) {
            case COMPLETIONS_PATH ->
                posted(request).flatMap(posted -> modelCall(posted, configuration, AnswerShape.COMPLETION));
            case CHAT_COMPLETIONS_PATH ->
                posted(request).flatMap(posted -> modelCall(posted, configuration, AnswerShape.CHAT_COMPLETION));
            case KEYS_PATH -> posted(request).flatMap(posted -> mintCall(posted, configuration.rules()));
            default -> plainCall(request, configuration.rules());
        };
    }

    // ------------------------------------------------------------------ internals

    private static Either<Failure, IdentifiedRequest> posted(IdentifiedRequest request) {
        return request.accepted().method().equals(POST)
                ? Either.right(request)
                : Either.left(Failure.of(ResultCode.METHOD_NOT_ALLOWED, "this path takes POST only"));
    }

    private static Either<Failure, ClassifiedRequest> modelCall(
            IdentifiedRequest request, ActiveConfiguration configuration, AnswerShape shape) {
        return PromptReader.read(request.accepted().body(), shape)
                .flatMap(prompt -> service(prompt.model(), configuration)
                        .flatMap(service -> modelCall(request, service, prompt, configuration.inventory(), shape)));
    }

    private static Either<Failure, ClassifiedRequest> modelCall(
            IdentifiedRequest request,
            ServiceRule service,
            PromptRequest prompt,
            Inventory inventory,
            AnswerShape shape) {
        int promptTokens = estimatedTokens(prompt.prompt());
        long tokens = (long) promptTokens + prompt.sampling().maximumTokens();
        int maximumTokens =
                inventory.model(prompt.model()).map(Model::maximumTokens).orElse(0);
        if (tokens > maximumTokens) {
            return Either.left(Failure.of(
                    ResultCode.PROMPT_TOO_LONG,
                    "prompt and answer take %d tokens, the model holds %d".formatted(tokens, maximumTokens)));
        }
        return Either.right(new ClassifiedRequest.ModelRequest(
                request,
                service,
                prompt.model(),
                prompt.prompt(),
                promptTokens,
                Math.toIntExact((tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE),
                prompt.sampling(),
                shape,
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
                        Failure.of(ResultCode.UNKNOWN_MODEL, "no instance of the inventory carries the model")));
    }

    private static Either<Failure, ClassifiedRequest> mintCall(IdentifiedRequest request, Rules rules) {
        return PromptReader.readService(request.accepted().body())
                .flatMap(name -> plainService(new ServiceName(name), rules))
                .map(service -> new ClassifiedRequest.MintRequest(request, service));
    }

    private Either<Failure, ClassifiedRequest> plainCall(IdentifiedRequest request, Rules rules) {
        AcceptedRequest accepted = request.accepted();
        return route(accepted, rules)
                .flatMap(route -> plainService(route.service(), rules)
                        .flatMap(service -> keyFilter
                                .keyUse(request, route)
                                .map(key -> new ClassifiedRequest.PlainRequest(
                                        request, service, key, fingerprint(accepted)))));
    }

    private static Either<Failure, RouteRule> route(AcceptedRequest request, Rules rules) {
        List<RouteRule> ofPath = rules.routes().stream()
                .filter(row -> row.matchesPath(request.path()))
                .toList();
        Optional<RouteRule> found = ofPath.stream()
                .filter(row -> row.matchesMethod(request.method()))
                .findFirst();
        if (found.isPresent()) {
            return Either.right(found.get());
        }
        return Either.left(
                ofPath.isEmpty()
                        ? Failure.of(ResultCode.UNKNOWN_ROUTE, "no route of the rules matches the path")
                        : Failure.of(ResultCode.METHOD_NOT_ALLOWED, "no route of this path takes the method"));
    }

    private static Either<Failure, ServiceRule> plainService(ServiceName name, Rules rules) {
        return rules.service(name)
                .filter(service -> service.kind() == ServiceKind.PLAIN)
                .<Either<Failure, ServiceRule>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Failure.of(ResultCode.UNKNOWN_ROUTE, "the rules name no plain service of this name")));
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
