package org.merlinwood.entry.filter;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.MintedKey;
import org.merlinwood.decision.idempotency.MintedKeys;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;
import org.merlinwood.entry.request.KeyUse;

/** Checks the idempotency key of a request to a plain service. Immutable and thread-safe. */
final class KeyFilter {

    private static final int MAXIMUM_OWN_KEY_CHARACTERS = 255;
    private static final String OWN_KEY_PATTERN = "[\\x21-\\x7e]{1," + MAXIMUM_OWN_KEY_CHARACTERS + "}";

    private final List<SharedKey> keys;

    KeyFilter(List<SharedKey> keys) {
        this.keys = List.copyOf(keys);
    }

    Either<Failure, KeyUse> keyUse(IdentifiedRequest request, RouteRule route) {
        Optional<String> text = request.accepted().idempotencyKey();
        if (text.isEmpty()) {
            return withoutKey(route);
        }
        if (route.repeatability() == Repeatability.IDEMPOTENT) {
            return Either.right(new KeyUse.NotNeeded());
        }
        return text.get().startsWith(MintedKeys.PREFIX)
                ? minted(text.get(), request, route.service())
                : own(text.get());
    }

    // ------------------------------------------------------------------ internals

    private static Either<Failure, KeyUse> withoutKey(RouteRule route) {
        if (route.keyDemand() == KeyDemand.REQUIRED) {
            return Either.left(Failure.of(
                    ResultCode.KEY_REQUIRED,
                    "this request requires the header " + AcceptedRequest.IDEMPOTENCY_KEY_HEADER));
        }
        return Either.right(
                switch (route.repeatability()) {
                    case IDEMPOTENT -> new KeyUse.NotNeeded();
                    case NON_IDEMPOTENT -> new KeyUse.MintedForRequest();
                });
    }

    private Either<Failure, KeyUse> minted(String text, IdentifiedRequest request, ServiceName service) {
        return MintedKeys.verify(text, request.caller(), keys).flatMap(key -> ofService(text, key, service));
    }

    private static Either<Failure, KeyUse> ofService(String text, MintedKey key, ServiceName service) {
        return key.service().equals(service)
                ? Either.right(new KeyUse.Minted(new IdempotencyKey(text), key.instance()))
                : Either.left(Failure.of(ResultCode.KEY_NOT_AUTHENTIC, "the key was minted for another service"));
    }

    private static Either<Failure, KeyUse> own(String text) {
        return text.matches(OWN_KEY_PATTERN)
                ? Either.right(new KeyUse.Own(new IdempotencyKey(text)))
                : Either.left(Failure.of(
                        ResultCode.KEY_MALFORMED,
                        "a key must consist of 1 to " + MAXIMUM_OWN_KEY_CHARACTERS + " printable ASCII characters"));
    }
}
