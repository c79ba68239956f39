package org.merlinwood.entry.filter;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.IdentifiedRequest;

/** Determines the caller and the deadline of a request. Stateless and thread-safe. */
public final class IdentifyFilter {

    /** Header with the time for which the caller waits for the response, in milliseconds. */
    public static final String DEADLINE_HEADER = "Merlinwood-Deadline-Millis";

    private static final String AUTHORIZATION_HEADER = "Authorization";
    private static final String BEARER = "Bearer ";
    private static final int MAXIMUM_DEADLINE_DIGITS = 9;

    private IdentifyFilter() {}

    // ------------------------------------------------------------------ public API

    /**
     * Identifies the caller of a request.
     *
     * @param request the request
     * @param rules the active rules
     * @return the request with its caller and deadline, or a failure with {@link ResultCode#UNKNOWN_CALLER} or
     *     {@link ResultCode#DEADLINE_MALFORMED}
     */
    public static Either<Failure, IdentifiedRequest> identify(AcceptedRequest request, Rules rules) {
        return caller(request, rules)
                .flatMap(caller -> waitMillis(request, rules)
                        .flatMap(waitMillis -> callerClass(caller, rules)
                                .map(callerClass -> new IdentifiedRequest(
                                        request, caller.name(), callerClass, request.arrivedMillis() + waitMillis))));
    }

    // ------------------------------------------------------------------ internals

    private static Either<Failure, CallerRule> caller(AcceptedRequest request, Rules rules) {
        Optional<String> authorization = request.header(AUTHORIZATION_HEADER);
        if (authorization.isEmpty() || !authorization.get().regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Either.left(
                    Failure.of(ResultCode.UNKNOWN_CALLER, "the Authorization header must contain a bearer token"));
        }
        String token = authorization.get().substring(BEARER.length()).strip();
        byte[] digest = DigestUtils.sha256Hex(token).getBytes(StandardCharsets.US_ASCII);
        CallerRule found = null;
        for (CallerRule rule : rules.callers()) {
            if (MessageDigest.isEqual(digest, rule.tokenDigest().getBytes(StandardCharsets.US_ASCII))) {
                found = rule;
            }
        }
        return found == null
                ? Either.left(
                        Failure.of(ResultCode.UNKNOWN_CALLER, "the token does not belong to a caller in the rules"))
                : Either.right(found);
    }

    private static Either<Failure, CallerClass> callerClass(CallerRule caller, Rules rules) {
        return rules.callerClass(caller.callerClass())
                .<Either<Failure, CallerClass>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Failure.of(ResultCode.UNKNOWN_CALLER, "the rules do not contain the class of the caller")));
    }

    private static Either<Failure, Long> waitMillis(AcceptedRequest request, Rules rules) {
        long defaultMillis = rules.limits().deadlineMillis();
        Optional<String> text = request.header(DEADLINE_HEADER).map(String::strip);
        if (text.isEmpty()) {
            return Either.right(defaultMillis);
        }
        boolean isNumber = text.get().matches("[0-9]+") && text.get().length() <= MAXIMUM_DEADLINE_DIGITS;
        long requestedMillis = isNumber ? Long.parseLong(text.get()) : 0;
        return requestedMillis > 0
                ? Either.right(requestedMillis)
                : Either.left(Failure.of(
                        ResultCode.DEADLINE_MALFORMED, DEADLINE_HEADER + " is not a positive number of milliseconds"));
    }
}
