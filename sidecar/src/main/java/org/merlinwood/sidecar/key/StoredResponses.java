package org.merlinwood.sidecar.key;

import java.util.List;
import org.merlinwood.decision.idempotency.StoredResponse;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.sidecar.execution.PlainExecution;
import org.merlinwood.sidecar.execution.ResponseChannel;

/** Converts answers between the HTTP client and the table of keys. Stateless. */
public final class StoredResponses {

    private StoredResponses() {}

    /**
     * Makes an answer that may be given again.
     *
     * @param answer the answer of the upstream
     * @return the same answer
     */
    public static StoredResponse of(HttpResponse answer) {
        List<StoredResponse.StoredHeader> headers = answer.headers().stream()
                .map(header -> new StoredResponse.StoredHeader(header.name(), header.value()))
                .toList();
        return new StoredResponse(answer.status(), headers, answer.body());
    }

    /**
     * Gives a stored answer again.
     *
     * @param channel the exchange
     * @param answer the stored answer
     */
    public static void replay(ResponseChannel channel, StoredResponse answer) {
        List<HttpHeader> headers = answer.headers().stream()
                .map(header -> new HttpHeader(header.name(), header.value()))
                .toList();
        PlainExecution.relay(channel, new HttpResponse(answer.status(), headers, answer.body()), true);
    }
}
