package org.merlinwood.sidecar.key;

import java.util.List;
import org.merlinwood.decision.idempotency.StoredResponse;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.sidecar.execution.PlainExecution;
import org.merlinwood.sidecar.execution.ResponseChannel;

/** Converts responses between the HTTP client and the key table. Stateless. */
public final class StoredResponses {

    private StoredResponses() {}

    /**
     * Converts a response of the upstream to one that can be stored.
     *
     * @param response the complete response
     * @return the stored response
     */
    public static StoredResponse of(HttpResponse response) {
        List<StoredResponse.StoredHeader> headers = response.headers().stream()
                .map(header -> new StoredResponse.StoredHeader(header.name(), header.value()))
                .toList();
        return new StoredResponse(response.status(), headers, response.body());
    }

    /**
     * Sends a stored response on an exchange and ends it. The response is marked as replayed.
     *
     * @param channel sends the response on the exchange
     * @param response the stored response
     */
    public static void replay(ResponseChannel channel, StoredResponse response) {
        List<HttpHeader> headers = response.headers().stream()
                .map(header -> new HttpHeader(header.name(), header.value()))
                .toList();
        PlainExecution.relay(channel, new HttpResponse(response.status(), headers, response.body()), true);
    }
}
