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

/** Has the engine compute the KV cache of a prompt, and tells the entry where it is held. */
public final class PrefillExecution extends HttpExecution {

    private static final int OK = 200;

    private final EngineClient engine;
    private final NetworkAddress engineAddress;
    private final EngineMessages.PrefillRequest call;
    private final long silenceMillis;
    private final ResponseChannel channel;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    /**
     * Creates an execution that has not begun.
     *
     * @param engine the engine
     * @param engineAddress where decode engines fetch the KV cache
     * @param call what to compute
     * @param silenceMillis how long the engine may be silent, in milliseconds
     * @param channel the exchange
     */
    public PrefillExecution(
            EngineClient engine,
            NetworkAddress engineAddress,
            EngineMessages.PrefillRequest call,
            long silenceMillis,
            ResponseChannel channel) {
        this.engine = engine;
        this.engineAddress = engineAddress;
        this.call = call;
        this.silenceMillis = silenceMillis;
        this.channel = channel;
    }

    @Override
    HttpStream open() {
        return engine.prefill(call, silenceMillis, this);
    }

    @Override
    public void onHead(int answerStatus, List<HttpHeader> headers) {
        status = answerStatus;
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
        Either<Failure, EngineMessages.PrefillResponse> answer = engine.readPrefillResponse(body.toByteArray());
        return answer.fold(this::failed, this::done);
    }

    private ExecutionOutcome done(EngineMessages.PrefillResponse answer) {
        CacheHandle cache = CacheHandle.newBuilder()
                .setEngineAddress(engineAddress.toString())
                .setHandle(answer.handle())
                .setTokens(answer.tokens())
                .setBytes(answer.bytes())
                .build();
        channel.prefillDone(cache, answer.computedTokens());
        return new ExecutionOutcome.Retained(answer.expiresInMillis());
    }
}
