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

/** Accesses the configuration service over HTTP, using its addresses round-robin. Thread-safe. */
public final class HttpConfigurationService implements ConfigurationService {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_MARGIN_MILLIS = 2_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final HttpClient client;
    private final List<InetSocketAddress> addresses;
    private final AtomicInteger nextAddress;

    /**
     * Creates a client of the configuration service.
     *
     * @param client sends the requests; not closed by this object
     * @param addresses addresses of the service, at least one
     * @param firstAddress index of the address that is used first, modulo the number of addresses
     */
    public HttpConfigurationService(HttpClient client, List<NetworkAddress> addresses, int firstAddress) {
        this.client = client;
        this.addresses = addresses.stream().map(NetworkAddress::toSocketAddress).toList();
        this.nextAddress = new AtomicInteger(firstAddress);
    }

    @Override
    public CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis) {
        String path = "/v1/documents/" + document + "?after=" + afterRevision + "&waitMillis=" + waitMillis;
        InetSocketAddress address = addresses.get(Math.floorMod(nextAddress.getAndIncrement(), addresses.size()));
        HttpRequest request = HttpRequest.of("GET", address, path, new byte[0])
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, waitMillis + RESPONSE_MARGIN_MILLIS);
        return client.execute(request).thenApply(HttpConfigurationService::interpret);
    }

    private static ConfigurationResponse interpret(Either<Failure, HttpResponse> result) {
        return result.fold(
                failure -> new ConfigurationResponse.Unavailable(failure.detail()),
                HttpConfigurationService::interpretResponse);
    }

    private static ConfigurationResponse interpretResponse(HttpResponse response) {
        return switch (response.status()) {
            case STATUS_OK -> parseDocument(response);
            case STATUS_NOT_MODIFIED -> new ConfigurationResponse.Unchanged();
            case STATUS_TOO_MANY_REQUESTS -> new ConfigurationResponse.Busy(retryAfterMillis(response));
            default -> new ConfigurationResponse.Unavailable("the service responded with status " + response.status());
        };
    }

    private static ConfigurationResponse parseDocument(HttpResponse response) {
        try {
            JsonNode body = MAPPER.readTree(response.body());
            JsonNode revision = body.path("revision");
            JsonNode content = body.path("content");
            if (revision.canConvertToLong() && revision.asLong() > 0 && content.isTextual()) {
                return new ConfigurationResponse.Published(revision.asLong(), content.asText());
            }
        } catch (JsonProcessingException exception) {
            return new ConfigurationResponse.Unavailable("the response of the service is not valid JSON");
        } catch (IOException exception) {
            return new ConfigurationResponse.Unavailable("the response of the service can't be read");
        }
        return new ConfigurationResponse.Unavailable(
                "the response of the service lacks a positive revision or content");
    }

    private static long retryAfterMillis(HttpResponse response) {
        try {
            return response.header("Retry-After-Millis")
                    .map(Long::parseLong)
                    .or(() ->
                            response.header("Retry-After").map(seconds -> Long.parseLong(seconds) * MILLIS_PER_SECOND))
                    .orElse(0L);
        } catch (NumberFormatException exception) {
            return 0;
        }
    }
}
