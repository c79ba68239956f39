package org.merlinwood.following.impl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** The configuration service over HTTP; its addresses are asked in turn. Thread-safe. */
public final class HttpConfigurationService implements ConfigurationService {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long ANSWER_MARGIN_MILLIS = 2_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final HttpClient client;
    private final List<InetSocketAddress> addresses;
    private final AtomicInteger turn;

    /**
     * Creates the client side.
     *
     * @param client sends the calls; not closed by this object
     * @param addresses where the service listens, at least one
     * @param firstTurn which address is asked first, modulo their number
     */
    public HttpConfigurationService(HttpClient client, List<NetworkAddress> addresses, int firstTurn) {
        this.client = client;
        this.addresses = addresses.stream()
                .map(address -> new InetSocketAddress(address.host(), address.port()))
                .toList();
        this.turn = new AtomicInteger(firstTurn);
    }

    @Override
    public CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis) {
        String path = "/v1/documents/" + document + "?after=" + afterRevision + "&waitMillis=" + waitMillis;
        InetSocketAddress address = addresses.get(Math.floorMod(turn.getAndIncrement(), addresses.size()));
        HttpRequest call = HttpRequest.of("GET", address, path, new byte[0])
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, waitMillis + ANSWER_MARGIN_MILLIS);
        return client.execute(call).thenApply(HttpConfigurationService::interpret);
    }

    // ------------------------------------------------------------------ internals

    private static ConfigurationResponse interpret(Either<Failure, HttpResponse> result) {
        return result.fold(
                failure -> new ConfigurationResponse.Unavailable(failure.detail()),
                HttpConfigurationService::interpretAnswer);
    }

    private static ConfigurationResponse interpretAnswer(HttpResponse answer) {
        return switch (answer.status()) {
            case STATUS_OK -> document(answer);
            case STATUS_NOT_MODIFIED -> new ConfigurationResponse.Unchanged();
            case STATUS_TOO_MANY_REQUESTS -> new ConfigurationResponse.Busy(retryAfterMillis(answer));
            default -> new ConfigurationResponse.Unavailable("the service answered with status " + answer.status());
        };
    }

    private static ConfigurationResponse document(HttpResponse answer) {
        try {
            JsonNode body = MAPPER.readTree(answer.body());
            JsonNode revision = body.path("revision");
            JsonNode content = body.path("content");
            if (revision.canConvertToLong() && revision.asLong() > 0 && content.isTextual()) {
                return new ConfigurationResponse.Published(revision.asLong(), content.asText());
            }
        } catch (JsonProcessingException exception) {
            return new ConfigurationResponse.Unavailable("the service's answer is not JSON");
        } catch (IOException exception) {
            return new ConfigurationResponse.Unavailable("the service's answer can't be read");
        }
        return new ConfigurationResponse.Unavailable("the service's answer has no revision and content");
    }

    private static long retryAfterMillis(HttpResponse answer) {
        try {
            return answer.header("Retry-After-Millis")
                    .map(Long::parseLong)
                    .or(() -> answer.header("Retry-After").map(seconds -> Long.parseLong(seconds) * MILLIS_PER_SECOND))
                    .orElse(0L);
        } catch (NumberFormatException exception) {
            return 0;
        }
    }
}
