package org.merlinwood.sidecar.execution;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpStream;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;
import org.merlinwood.wire.CacheHandle;

/** Lets the engine compute the KV cache of a prompt, and sends its location to the entry. */
public final class PrefillExecution extends HttpExecution {

    private static final int OK = 200;

    private final EngineClient engine;
    private final NetworkAddress engineAddress;
    private final EngineMessages.PrefillRequest request;
    private final long timeoutMillis;
    private final ResponseChannel channel;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    /**
     * Creates an execution that has not been started.
     *
     * @param engine sends the request
     * @param engineAddress address from which decode engines fetch the KV cache
     * @param request the prefill request
     * @param timeoutMillis time limit of the complete response, in milliseconds
     * @param channel sends the result on the exchange
     */
    public PrefillExecution(
            EngineClient engine,
            NetworkAddress engineAddress,
            EngineMessages.PrefillRequest request,
            long timeoutMillis,
            ResponseChannel channel) {
        this.engine = engine;
        this.engineAddress = engineAddress;
        this.request = request;
        this.timeoutMillis = timeoutMillis;
        this.channel = channel;
    }

    @Override
    HttpStream open() {
        return engine.prefill(request, timeoutMillis, this);
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> headers) {
        status = responseStatus;
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    ExecutionOutcome onResponse() {
        if (status != OK) {
            return new ExecutionOutcome.Failed(EngineClient.refusal(status), false);
        }
        Either<Failure, EngineMessages.PrefillResponse> response = engine.readPrefillResponse(body.toByteArray());
        return response.fold(this::failedOutcome, this::onPrefillDone);
    }

    private ExecutionOutcome onPrefillDone(EngineMessages.PrefillResponse response) {
        CacheHandle cache = CacheHandle.newBuilder()
                .setEngineAddress(engineAddress.toString())
                .setHandle(response.handle())
                .setTokens(response.tokens())
                .setBytes(response.bytes())
                .build();
        channel.prefillDone(cache, response.computedTokens());
        return new ExecutionOutcome.Retained(response.expiresInMillis());
    }
}
